"""Text streams with a faulty reader."""

import io
import threading


class StuckStream(io.StringIO):
    """A stream whose writers block until `resume_reading` is set.

    `is_blocked` is set once a writer waits.
    """

    def __init__(self) -> None:
        super().__init__()
        self.resume_reading = threading.Event()
        self.is_blocked = threading.Event()

    def write(self, text: str, /) -> int:
        """Wait until the reader resumes, then write the text."""
        self.is_blocked.set()
        self.resume_reading.wait()
        return super().write(text)
