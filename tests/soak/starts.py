"""Starts of routers, and how long they waited for a processor."""

import json

import attrs

START_EVENT = "started"


@attrs.frozen
class RouterStart:
    """A start of a router's process, as logged by the process itself.

    Attributes
    ----------
    started_at
        Time on the clock of the log at which the start was complete.
    seconds
        Seconds that the start took.
    processor_seconds
        Seconds of processor time that it used.
    """

    started_at: float
    seconds: float
    processor_seconds: float

    @classmethod
    def read_all(cls, log):
        """Return the starts in a log file, which may not exist."""
        if not log.exists():
            return []
        label = f'"event":"{START_EVENT}"'
        starts = []
        for text in log.read_text().splitlines(keepends=True):
            # The last line may not be completely written yet.
            if label not in text or not text.endswith("\n"):
                continue
            line = json.loads(text)
            start = cls(line["time"], line["seconds"], line["processor_seconds"])
            starts.append(start)
        return starts

    def wait_of_request(self, sent_at):
        """Return for how long a request may have waited for a starting process.

        Parameters
        ----------
        sent_at
            Time on the clock of the log at which the request was sent.

        Returns
        -------
        float
            Seconds for which the start waited for a processor, at most those from the
            sending of the request to the end of the start. 0 if the request was not
            sent during the start.
        """
        if not self.started_at - self.seconds <= sent_at < self.started_at:
            return 0.0
        waited_seconds = max(self.seconds - self.processor_seconds, 0.0)
        return min(waited_seconds, self.started_at - sent_at)
