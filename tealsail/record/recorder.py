"""A relay's own record: what it took, sent and answered, written beside its serving and never in its way.

Lines go into a bounded queue; a thread of its own encodes and writes them.  What finds the queue full, or the file at
its limit, is dropped and counted.  A file that can't be written ends the record, not the relay.
"""

import queue
import threading
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

from .files import Writer
from .lines import Head, Line

FULL_AT = 0.98  # of the file's limit: the rest is for the end of the gzip stream
CHECK = 512  # lines between two looks at the file's size


class Recorder:
    """Takes lines from the reactor's thread, with `note`; `close` waits until what is queued is written.

    `add` is the relay's counter (name, amount): record.lines and record.dropped.  Raises OSError if the file can't be
    opened.
    """

    def __init__(
        self, path: Path | str, head: Head, most_bytes: int, most_waiting: int, keys: str, add: Callable[..., None]
    ) -> None:
        self.path, self.most, self.keys, self.add = Path(path), int(most_bytes * FULL_AT), keys, add
        self.queued_lines: queue.Queue[Line | None] = queue.Queue(most_waiting)
        self.full = False  # the file is, or it can't be written
        self.problem = ""
        self.writer = Writer(path)
        self.writer(head)
        self.thread = threading.Thread(target=self.write, name="record", daemon=True)
        self.thread.start()

    def note(self, line: Line) -> None:
        """Never waits."""
        if not self.full:
            try:
                self.queued_lines.put_nowait(line)
                return self.add("record.lines")
            except queue.Full:
                pass
        self.add("record.dropped")

    def key(self, key: str) -> str:
        """As the document has it; a hash tells equal keys and nothing else."""
        if self.keys == "hashed":
            return blake2b(key.encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()
        return key if self.keys == "plain" else ""

    def write(self) -> None:
        """The thread."""
        try:
            while (line := self.queued_lines.get()) is not None:
                if self.full:
                    continue
                self.writer(line)
                if self.writer.lines % CHECK == 0:
                    self.full = self.path.stat().st_size >= self.most
        except Exception as problem:  # a full disk must not end a relay
            self.full, self.problem = True, f"{type(problem).__name__}: {problem}"
            while self.queued_lines.get() is not None:
                pass

    def close(self) -> None:
        """Writes what is queued; the record is whole then."""
        if not self.thread.is_alive():
            return
        self.queued_lines.put(None)
        self.thread.join()
        try:
            self.writer.close()
        except OSError as problem:
            self.problem = self.problem or str(problem)
