"""``day`` prints what a day lost, or a clear error."""

import json

from typer import testing

from foxtailworks.ctl import _app
from foxtailworks.losses.tests import samples


def run(*arguments):
    return testing.CliRunner().invoke(_app.app, ["day", *map(str, arguments)])


def test_the_windows_with_a_loss_are_shown_with_their_cause(tmp_path):
    found = run(*samples.write(tmp_path))
    assert found.exit_code == 0
    lines = found.stdout.splitlines()
    assert lines[0].startswith("credit 0.940 of what was owed")
    (window,) = [line for line in lines if line.startswith("8 ")]
    assert "partition" in window and "zone_cut release" in window
    assert not any(line.startswith("2 ") for line in lines)


def test_json_has_every_window(tmp_path):
    found = json.loads(run("--json", *samples.write(tmp_path)).stdout)
    assert len(found["windows"]) == 10
    assert found["windows"][4]["unanswered"] == 1
    assert found["causes"]["partition"] == 50


def test_a_picture_is_written(tmp_path):
    path = tmp_path / "day.png"
    report, _ = samples.write(tmp_path)
    assert run("--plot", path, report).exit_code == 0
    assert path.stat().st_size > 0


def test_a_missing_report_ends_with_a_numbered_error(tmp_path):
    found = run(tmp_path / "absent.json")
    assert found.exit_code == 3
    assert "1003" in found.stderr


def test_a_log_of_another_site_ends_with_a_numbered_error(tmp_path):
    log = samples.LOG.replace("front-1", "elsewhere")
    found = run(*samples.write(tmp_path, log))
    assert found.exit_code == 3
    assert "elsewhere" in found.stderr


def test_the_ceiling_of_a_day_is_shown(tmp_path):
    report, _ = samples.write(tmp_path)
    site = tmp_path / "site.toml"
    site.write_text(samples.SITE)
    found = run(report, "--site", site, "--name", "trouble-1")
    assert "ceiling 1.000" in found.stdout.splitlines()[-1]
    wrong = run(report, "--site", site, "--name", "trouble-9")
    assert wrong.exit_code == 3
