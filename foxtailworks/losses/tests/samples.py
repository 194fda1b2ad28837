"""A small report and log of a day, for tests."""

import json


def tally(name, owed=100, share=1.0, **changes):
    values = {"name": name, "n": owed, "in_aim": owed, "late": 0}
    values |= {"refused": 0, "failed": 0, "worth": share}
    return values | changes


def event(kind, at_s, to_s, what=""):
    return {"at_s": at_s, "to_s": to_s, "kind": kind, "what": what}


def report(**changes):
    """Return the fields of a report with ten windows of two seconds."""
    windows = [tally(str(second)) for second in range(0, 20, 2)]
    windows[4]["worth"] = 0.5
    windows[8]["worth"] = 0.9
    fields = {
        "all": tally("all", 1000, 0.94),
        "windows": windows,
        "zones": [tally("a", 500, 0.9), tally("b", 500, 0.98)],
        "classes": [tally("lookup", 1000, 0.94)],
        "events": [
            event("zone_cut (reset)", 8.5, 9.5, "a"),
            event("release", 8.0, 11.0),
        ],
        "touch": {"core": ["core-1"], "out": {"front-1": "8.5 to 13.5"}},
        "further": {"field": 1},
    }
    return fields | changes


LOG = """\
built in 0.2 s
   0.1000 front-1 time=2026-01-01T00:00:00.100Z level=info part=service \
event=started pid=1
   8.6000 front-1 time=2026-01-01T00:00:08.600Z level=info part=flows \
event=opening_unanswered flow=100.64.0.7:1>198.18.0.1:443 upstream=i-1
   8.7000 front-1 time=2026-01-01T00:00:08.700Z level=info part=flows \
event=packet_dropped flow=100.64.0.7:1>198.18.0.1:443 reason=no_route token=0
  18.0000 core-1 time=2026-01-01T00:00:18.000Z level=info part=coordinator \
event=instance_changed upstream=i-1
"""


def write(folder, log=LOG, **changes):
    """Write report and log; return their paths."""
    paths = folder / "report.json", folder / "hosts.log"
    paths[0].write_text(json.dumps(report(**changes)))
    paths[1].write_text(log)
    return paths


SITE = """\
classes = [
  { name = "lookup", aim_ms = 500, deadline_ms = 1000, worth = 1, \
late_worth = 0.5, more = 1 },
]
[goal]
mean = 0.5
window = 0.3
class = 0.1
zone = 0.1
[[day]]
name = "trouble-1"
closing = { kind = "power_off_all", down_s = 2.0 }
[[day]]
name = "quiet-1"
"""
