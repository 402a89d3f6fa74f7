"""The record of a run: one line for each thing that was sent, answered, run or disturbed."""
import time


class Timeline:
    """Writes a file with seconds since the start. Lines of requests are many, so the file is buffered."""

    def __init__(self, file):
        self.file = open(file, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        self.file.write(f"{self.now():8.3f} {' '.join(str(it) for it in words)}\n")

    def close(self):
        self.file.close()
