"""Tests that losses are found at their time and given to their cause."""

import json

import pytest

from foxtailworks import errors
from foxtailworks import losses
from foxtailworks.losses.tests import samples


def rows_of(folder, log=samples.LOG, **changes):
    report, log_path = samples.write(folder, log, **changes)
    day = losses.read_report(report)
    return list(losses.explain(day, losses.read_logs([log_path], day)))


def code_of(call):
    with pytest.raises(errors.FoxtailError) as info:
        call()
    return info.value.code


def test_a_loss_is_given_to_the_heaviest_disruption_of_its_time(tmp_path):
    rows = rows_of(tmp_path)
    assert rows[4].cause is losses.Cause.PARTITION
    assert rows[4].lost == 50
    assert rows[4].disruptions == ("zone_cut", "release")


def test_a_loss_without_a_disruption_is_said_to_be_one(tmp_path):
    rows = rows_of(tmp_path)
    assert rows[8].cause is losses.Cause.NONE
    assert round(rows[8].lost) == 10


def test_the_aftermath_of_a_disruption_belongs_to_it(tmp_path):
    rows = rows_of(tmp_path)
    assert rows[5].cause is losses.Cause.PARTITION
    assert rows[6].cause is losses.Cause.CHANGE


def test_logged_events_are_counted_in_their_windows(tmp_path):
    rows = rows_of(tmp_path)
    assert [row.starts for row in rows] == [1] + [0] * 9
    assert (rows[4].unanswered, rows[4].rejected) == (1, 1)


def test_a_recorded_day_names_neither_hosts_nor_disruptions(tmp_path):
    row = rows_of(tmp_path, touch=None, events=[])[4]
    assert row.unanswered == 1
    assert row.cause is losses.Cause.UNRECORDED


def test_totals_begin_with_the_largest_cause(tmp_path):
    found = losses.totals(rows_of(tmp_path))
    assert list(found)[0] is losses.Cause.PARTITION
    assert round(sum(found.values())) == 60


@pytest.mark.parametrize(
    ("kind", "cause"),
    [
        ("closing (power_off_all)", losses.Cause.OUTAGE),
        ("herd_kill (power)", losses.Cause.OUTAGE),
        ("node_cut (all)", losses.Cause.PARTITION),
        ("node_freeze", losses.Cause.HOSTS),
        ("disk_stall", losses.Cause.HOSTS),
        ("srv_cut", losses.Cause.PARTITION),
        ("srv_grey (errors)", losses.Cause.UPSTREAMS),
        ("burst", losses.Cause.LOAD),
        ("scale_in", losses.Cause.CHANGE),
        ("a kind of later days", losses.Cause.CHANGE),
    ],
)
def test_each_kind_has_a_cause(tmp_path, kind, cause):
    rows = rows_of(tmp_path, events=[samples.event(kind, 8.0, 9.0)])
    assert rows[4].cause is cause


def test_a_missing_report_is_an_error(tmp_path):
    code = code_of(lambda: losses.read_report(tmp_path / "absent"))
    assert code is errors.Code.REPORT_INVALID


@pytest.mark.parametrize(
    "text",
    ["", "{}", "[1]", "\xff", json.dumps(samples.report(windows=[]))],
)
def test_another_file_is_not_a_report(tmp_path, text):
    path = tmp_path / "report.json"
    path.write_text(text)
    code = code_of(lambda: losses.read_report(path))
    assert code is errors.Code.REPORT_INVALID


def test_a_report_cut_short_is_an_error(tmp_path):
    report, _ = samples.write(tmp_path)
    data = report.read_bytes()
    for size in range(0, len(data), 97):
        report.write_bytes(data[:size])
        code = code_of(lambda: losses.read_report(report))
        assert code is errors.Code.REPORT_INVALID


@pytest.mark.parametrize(
    "log",
    [
        "",
        "nothing that a host logged\n",
        samples.LOG.replace("front-1", "front-of-another-site"),
        "".join(samples.LOG.splitlines(keepends=True)[:2]),
    ],
    ids=["empty", "no lines", "another site", "cut short"],
)
def test_a_log_that_is_not_of_the_day_is_an_error(tmp_path, log):
    code = code_of(lambda: rows_of(tmp_path, log))
    assert code is errors.Code.REPORT_INVALID


def ceiling_of(folder, down_s, **changes):
    report, _ = samples.write(folder, **changes)
    path = folder / "site.toml"
    path.write_text(samples.SITE)
    day, site = losses.read_report(report), losses.read_site(path)
    return losses.ceiling(day, site, down_s)


def test_without_a_closing_fault_only_prices_bind(tmp_path):
    found = ceiling_of(tmp_path, 2.0, prices=[["hosts", 1.0, 0.05]])
    assert round(found.worth, 6) == 0.95


def test_an_outage_takes_what_its_deadlines_take(tmp_path):
    closing = [samples.event("closing (kill_all)", 10.0, 12.0)]
    found = ceiling_of(tmp_path, 2.0, events=closing)
    # In the window of two seconds one is past the deadline, half a second
    # late and half a second in time: 0 + 0.5 / 2 * 0.5 + 0.5 / 2.
    assert found.windows == pytest.approx((0.375 + 1.0) / 2)
    assert found.whole == pytest.approx(1 - 0.625 / 10)


def test_a_short_outage_costs_nothing(tmp_path):
    closing = [samples.event("closing (kill_all)", 10.0, 12.0)]
    assert ceiling_of(tmp_path, 0.4, events=closing).worth == 1.0


def test_a_day_that_the_site_does_not_have_is_an_error(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text(samples.SITE)
    site = losses.read_site(path)
    assert (site.down_s("trouble-1"), site.down_s("quiet-1")) == (2.0, 0.0)
    assert code_of(lambda: site.down_s("x")) is errors.Code.REPORT_INVALID


@pytest.mark.parametrize("text", ["", "classes = 1", "[", "\xff"])
def test_another_file_is_not_a_site(tmp_path, text):
    path = tmp_path / "site.toml"
    path.write_text(text)
    code = code_of(lambda: losses.read_site(path))
    assert code is errors.Code.REPORT_INVALID


def test_a_plot_is_a_picture(tmp_path):
    path = tmp_path / "day.png"
    losses.draw(rows_of(tmp_path), path)
    assert path.read_bytes().startswith(b"\x89PNG")


def test_a_plot_to_a_missing_folder_is_an_error(tmp_path):
    rows = rows_of(tmp_path)
    code = code_of(lambda: losses.draw(rows, tmp_path / "absent" / "a.png"))
    assert code is errors.Code.REPORT_INVALID
