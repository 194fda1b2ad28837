"""Names and meanings of metrics; a test compares docs/OPERATIONS.md."""

import enum

_MEANINGS: dict[str, str] = {}


class _MetricName(enum.StrEnum):
    """Enum of metric names, each with a meaning."""

    def __new__(cls, value: str, meaning: str) -> "_MetricName":
        """Create a member and store its meaning."""
        member = str.__new__(cls, value)
        member._value_ = value
        _MEANINGS[value] = meaning
        return member


class Counter(_MetricName):
    """Counters, which only grow while the process runs."""

    PACKETS_RECEIVED = "packets.received", "Packets from the fabric."
    PACKETS_SENT = "packets.sent", "Packets to the fabric."
    PACKETS_RELAYED = "packets.relayed", "Packets passed to another host."
    PACKETS_DROPPED = "packets.dropped", "Malformed or unroutable packets."
    FLOWS_PLACED = "flows.placed", "New flows placed on an upstream."
    FLOWS_REFUSED = "flows.refused", "New flows refused."
    FLOWS_ENDED = "flows.ended", "Flows that became idle."
    FLOWS_BROKEN = "flows.broken", "Flows whose upstream vanished."
    REQUESTS_RECEIVED = "requests.received", "Requests from callers."
    REQUESTS_ANSWERED = "requests.answered", "Answers of upstreams."
    REQUESTS_NOT_RUN = "requests.not_run", "Refusals: proven not run."
    REQUESTS_UNKNOWN = "requests.unknown", "Answers: outcome unknown."
    REQUESTS_MALFORMED = "requests.malformed", "Answers: bad request."
    REQUESTS_RETRIED = "requests.retried", "Second tries of the host."
    REQUESTS_REPEATED = "requests.repeated", "Repeats of a known key."
    ANSWERS_LATE = "answers.late", "Answers after their request ended."
    JOBS_PLACED = "jobs.placed", "Keyed requests that ran, counted once."
    LIMITS_REFUSED = "limits.refused", "Work over a contract's limit."
    PEERS_RECEIVED = "peers.received", "Datagrams from entry hosts."
    PEERS_SENT = "peers.sent", "Datagrams to entry hosts."
    PEERS_DROPPED = "peers.dropped", "Datagrams of hosts refused."
    PEERS_BYTES_SENT = "peers.bytes_sent", "Bytes to entry hosts."
    UPSTREAMS_ANNOUNCED = "upstreams.announced", "Announcements taken."
    UPSTREAMS_LEFT = "upstreams.left", "Upstreams that ended or expired."
    LINKS_ACCEPTED = "links.accepted", "Links that were opened."
    LINKS_REFUSED = "links.refused", "Links refused in the handshake."
    LINKS_MALFORMED = "links.malformed", "Links closed: bad message."
    LINKS_LOST = "links.lost", "Links that broke."
    LINKS_FAILED = "links.failed", "Links closed: fault of this program."
    CONTRACTS_APPLIED = "contracts.applied", "Versions put in force."
    EDITS_ACCEPTED = "edits.accepted", "Edits accepted."
    EDITS_REFUSED = "edits.refused", "Edits refused."
    ELECTIONS_STARTED = "elections.started", "Elections begun."
    ELECTIONS_WON = "elections.won", "Elections won."
    JOURNAL_SYNCS = "journal.syncs", "Syncs of the log to disk."
    JOURNAL_FAILURES = "journal.failures", "Writes that the disk refused."


class Gauge(_MetricName):
    """Gauges, which hold a current value."""

    FLOWS_OPEN = "flows.open", "Flows that this host remembers."
    REQUESTS_IN_FLIGHT = "requests.in_flight", "Placed, not answered."
    HOSTS_LIVE = "hosts.live", "Entry hosts held live."
    HOSTS_SUSPECTED = "hosts.suspected", "Entry hosts suspected."
    UPSTREAMS_KNOWN = "upstreams.known", "Upstreams known."
    VERSION_IN_FORCE = "version.in_force", "Version of the contracts."
    JOURNAL_BYTES = "journal.bytes", "Size of the log on disk."


def describe(name: Counter | Gauge) -> str:
    """Return the meaning of ``name`` in one sentence."""
    return _MEANINGS[name.value]
