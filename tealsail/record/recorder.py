"""Writes the record of a running relay without delaying it.

Lines go into a bounded queue, and a thread encodes and writes them.  A line that finds the queue full, or the file at
its size limit, is dropped and counted.  A file that can't be written ends the record, not the relay.
"""

import queue
import threading
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

from .files import Writer
from .lines import Head, Line

FULL_FRACTION = 0.98  # of the file's size limit; the rest is for the end of the gzip stream
SIZE_CHECK_LINES = 512  # lines between two checks of the file's size


class Recorder:
    """Takes lines from the reactor's thread with `enqueue`, and writes them to `path` after `head`.

    `max_bytes` limits the size of the file, `max_queued_lines` the queue.  `keys` is plain, hashed or none, as in the
    operator's document.  `add` increments the relay's counters `record.lines` and `record.dropped`.  Raises OSError if
    the file can't be opened.
    """

    def __init__(
        self, path: Path | str, head: Head, max_bytes: int, max_queued_lines: int, keys: str, add: Callable[..., None]
    ) -> None:
        self.path, self.full_bytes, self.keys, self.add = Path(path), int(max_bytes * FULL_FRACTION), keys, add
        self.queued_lines: queue.Queue[Line | None] = queue.Queue(max_queued_lines)
        self.is_full = False  # the file has reached its limit, or can't be written
        self.problem = ""  # why the file can't be written
        self.writer = Writer(path)
        self.writer(head)
        self.thread = threading.Thread(target=self.write_queued_lines, name="record", daemon=True)
        self.thread.start()

    def enqueue(self, line: Line) -> None:
        """Queues a line, or drops it if there is no room; never blocks."""
        if not self.is_full:
            try:
                self.queued_lines.put_nowait(line)
                return self.add("record.lines")
            except queue.Full:
                pass
        self.add("record.dropped")

    def key(self, key: str) -> str:
        """Returns a key as it goes into the record; a hash shows which keys are equal and nothing else."""
        if self.keys == "hashed":
            return blake2b(key.encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()
        return key if self.keys == "plain" else ""

    def write_queued_lines(self) -> None:
        """Runs in the thread, until `close` queues None."""
        try:
            while (line := self.queued_lines.get()) is not None:
                if self.is_full:
                    continue
                self.writer(line)
                if self.writer.lines % SIZE_CHECK_LINES == 0:
                    self.is_full = self.path.stat().st_size >= self.full_bytes
        except Exception as problem:  # a full disk must not end a relay
            self.is_full, self.problem = True, f"{type(problem).__name__}: {problem}"
            while self.queued_lines.get() is not None:
                pass

    def close(self) -> None:
        """Waits until the queued lines are written, and completes the record."""
        if not self.thread.is_alive():
            return
        self.queued_lines.put(None)
        self.thread.join()
        try:
            self.writer.close()
        except OSError as problem:
            self.problem = self.problem or str(problem)
