"""Find in a router's log why answers ended: a forwarder was killed, or a stop."""

import json
import time

import attrs

SEND_EVENT = "request sent"
END_EVENT = "request ended"
STOP_CAUSE = "stopping"
INTERRUPTION_EVENTS = frozenset(
    {
        "upstream stream interrupted",
        "upstream response interrupted",
        "upstream attempt failed",
    }
)
# Events of a request that the router itself did not send again.
RETRY_DENIAL_EVENTS = frozenset(
    {"retry budget used up", "request with a suspected prompt part not sent again"}
)
# Causes of the end of a request that no upstream could take over.
NO_UPSTREAM_CAUSES = frozenset(
    {
        "broken",
        "evacuated",
        "no-upstream",
        "overloaded",
        "software-version-gone",
        "upstream-full",
        "upstreams-backing-off",
        "upstreams-cold",
        "upstreams-throttled",
    }
)


@attrs.frozen
class RequestTrace:
    """Events of one request in the log of the router that its caller asked.

    Attributes
    ----------
    events
        The lines of the log as dictionaries, in the order in which they were written.
    """

    events: list

    @classmethod
    def read(cls, log, request_id):
        """Return the trace of a request from a log file, which may not exist."""
        if not log.exists():
            return cls([])
        label = f'"request_id":"{request_id}"'
        events = []
        for line in log.read_text().splitlines(keepends=True):
            # The last line may not be completely written yet.
            if label in line and line.endswith("\n"):
                events.append(json.loads(line))
        return cls(events)

    @property
    def forwarder(self):
        """Return the VM that forwarded the last send, or "" if it was direct."""
        send = self._last(SEND_EVENT)
        return send["via"] if send is not None else ""

    @property
    def ended_with_stop(self):
        """Return whether the router ended the request because it stopped."""
        end = self._last(END_EVENT)
        return end is not None and end.get("cause") == STOP_CAUSE

    def ended_with_forwarder(self, kill_times):
        """Return whether the last send broke as its forwarder was killed.

        Parameters
        ----------
        kill_times
            Times at which the forwarder was killed, on the clock of the log.
        """
        send, end = self._last(SEND_EVENT), self._last(END_EVENT)
        if send is None or end is None or not self._had_no_other_upstream(end):
            return False
        sent_at = send["time"]
        for event in self.events[self.events.index(send) :]:
            if event["event"] not in INTERRUPTION_EVENTS:
                continue
            if event["upstream"] != send["upstream"]:
                # An earlier send that was given up for this one.
                continue
            return any(sent_at <= killed <= event["time"] for killed in kill_times)
        return False

    def _had_no_other_upstream(self, end):
        """Return whether no other upstream could take over the request."""
        if end["sends"] >= end["attempts"]:
            return True
        names = {event["event"] for event in self.events}
        return end.get("cause") in NO_UPSTREAM_CAUSES and not (
            names & RETRY_DENIAL_EVENTS
        )

    def _last(self, name):
        found = [event for event in self.events if event["event"] == name]
        return found[-1] if found else None


def log_time(loop_time, loop):
    """Convert a time of the event loop's clock to one of the routers' logs."""
    return loop_time + time.time() - loop.time()
