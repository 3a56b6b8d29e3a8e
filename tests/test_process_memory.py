"""The memory of a process against its limit."""

import unittest

from tealsail.choices.memory_budget import BYTES_PER_MB, MemoryLevel, share_out
from tealsail.net.counters import Counters
from tealsail.net.discovery import ReplyParser, Unreadable
from tealsail.net.process_memory import ProcessMemory, resident_bytes

from .fake import Reactor


class Memory(unittest.TestCase):
    def setUp(self) -> None:
        self.used, self.levels = 30 * BYTES_PER_MB, []
        self.reactor, self.counters = Reactor(), Counters()
        shares = share_out(64 * BYTES_PER_MB, self.used)
        self.memory = ProcessMemory(self.reactor, shares, lambda: self.used, self.counters, self.levels.append)
        self.memory.check()

    # Guards against a process of which nobody can tell how much memory it had.
    def test_each_change_of_level_is_told_and_the_most_is_counted(self) -> None:
        for used in (30, 60, 58, 31):
            self.used = used * BYTES_PER_MB
            self.reactor.advance(0.5)
        self.assertEqual(self.levels, [MemoryLevel.SHORT, MemoryLevel.NORMAL])
        self.assertEqual(self.counters.counts["memory.most_mb"], 60)
        self.assertEqual((self.counters.counts["memory.short"], self.counters.counts["memory.normal"]), (1, 1))
        self.memory.stop()
        self.reactor.advance(9)
        self.assertEqual(len(self.levels), 2)

    # Guards against a list of the control service that takes more memory than the process has.
    def test_a_list_may_be_as_long_as_the_memory_allows(self) -> None:
        shares = [share_out(limit * BYTES_PER_MB, 28 * BYTES_PER_MB).list_bytes for limit in (32, 64, 192)]
        self.assertEqual(shares, [2 * BYTES_PER_MB, 36 * BYTES_PER_MB // 8, 8 * BYTES_PER_MB])
        for head in (b"Content-Length: 2000001", b"Transfer-Encoding: chunked"):
            parser = ReplyParser(2_000_000)
            with self.assertRaises(Unreadable):
                parser.feed(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n1e8481\r\n")

    def test_the_memory_of_this_process_is_read(self) -> None:
        self.assertGreater(resident_bytes(), BYTES_PER_MB)


if __name__ == "__main__":
    unittest.main()
