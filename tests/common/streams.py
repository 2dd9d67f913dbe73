"""Text streams whose reader misbehaves."""

import io
import threading


class StuckStream(io.StringIO):
    """A stream whose reader reads nothing until `read_on` is set.

    `is_held_up` is set once a writer waits for it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.read_on = threading.Event()
        self.is_held_up = threading.Event()

    def write(self, text: str, /) -> int:
        """Wait for the reader."""
        self.is_held_up.set()
        self.read_on.wait()
        return super().write(text)
