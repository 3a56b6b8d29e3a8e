"""Parsers of the network code: input in pieces of any size, and malformed input."""

import random
import struct
import tracemalloc
import unittest
from collections.abc import Callable

from tealsail import settings
from tealsail.net import discovery, messages, platform, statements

from .fake import ROW, STARTUP, client_query, error_response, message

INSERT = (
    b"INSERT INTO kv (name, content) VALUES ('7f', '\\x9f03') RETURNING content "
    b"/* id=9b1f,c=order,t=acme,d=480,k=77,new=1 */"
)


def garbage(seed: int, size: int) -> bytes:
    return random.Random(seed).randbytes(size)


class Messages(unittest.TestCase):
    def test_messages_split_over_reads_or_several_in_one_read(self) -> None:
        stream = message(b"S", b"stats\0util=0.61\0") + ROW + error_response("XX000") + message(b"Z", b"I")
        for piece in (1, 7, len(stream)):
            splitter, seen = messages.MessageSplitter(typed=True), []
            for first in range(0, len(stream), piece):
                splitter.feed(stream[first : first + piece])
                seen += [messages.parse_unit_message(*each) for each in splitter]
            self.assertEqual(
                [type(each).__name__ for each in seen],
                ["ParameterStatus", "RowDescription", "DataRow", "CommandComplete", "ErrorResponse", "ReadyForQuery"],
            )
            self.assertEqual(
                (seen[0], seen[2].columns, seen[4].code),
                (messages.ParameterStatus(b"stats", b"util=0.61"), 1, b"XX000"),
            )
            self.assertEqual(messages.value_response(messages.Value(*seen[1:4])), ROW + message(b"Z", b"I"))

    def test_first_message_of_a_client(self) -> None:
        self.assertEqual(
            messages.parse_first_message(STARTUP[4:]),
            messages.Startup({b"user": b"backend", b"database": b"store"}),
        )
        self.assertEqual(messages.parse_first_message(bytes.fromhex("04d2162f")), messages.EncryptionRequest())
        for body in (b"", b"\0\2\0\0", b"\0\3\0\0user\0", b"\0\3\0\0user\0me\0"):
            self.assertRaises(messages.ProtocolError, messages.parse_first_message, body)

    def test_length_beyond_bounds_is_an_error_at_once(self) -> None:
        for typed, data in ((True, b"Q\x7f\0\0\0"), (True, b"Q\0\0\0\3"), (False, b"\0\1\0\0")):
            splitter = messages.MessageSplitter(typed)
            splitter.feed(data)
            self.assertRaises(messages.ProtocolError, list, splitter)

    def test_random_bytes_raise_nothing_but_protocol_errors(self) -> None:
        for seed in range(300):
            body = garbage(seed, seed % 40)
            for kind in (b"R", b"S", b"T", b"D", b"E", b"C", b"Z", b"q", b"Q"):
                for read in (messages.parse_unit_message, messages.parse_client_message):
                    try:
                        read(kind, body)
                    except messages.ProtocolError:
                        pass


def query_for_unit(statement: statements.Statement, wait: int) -> bytes:
    return statements.UnitQuery(statement, lambda: wait).whole()


class Statements(unittest.TestCase):
    def test_only_the_time_to_wait_changes_on_the_way_to_the_unit(self) -> None:
        statement = statements.read(INSERT)
        self.assertEqual(
            (statement.workload, statement.customer, statement.key, statement.wait), ("order", "acme", "7f", 480)
        )
        self.assertEqual(query_for_unit(statement, 73), messages.query(INSERT.replace(b"d=480", b"d=73")))

    # Guards against a query that is taken to fit into a window, and is longer.
    def test_no_query_is_longer_than_its_stated_length(self) -> None:
        for wait in (1, 480, 10**9):
            query = statements.UnitQuery(statements.read(INSERT), lambda wait=wait: wait)
            self.assertIn(query.max_length() - len(query.whole()), range(statements.MAX_WAIT_DIGITS))
            self.assertEqual(b"".join(query.start()) + query.end(), query.whole())

    def test_quotes_repeat_field_and_comment_inside_a_value(self) -> None:
        text = b"SELECT content FROM kv WHERE name = 'o''clock /* d=1 */' /* id=1,c=a,t=b,d=0.5,r=1 */"
        statement = statements.read(text)
        self.assertEqual((statement.key, statement.wait, statement.repeat), ("o'clock /* d=1 */", 0.5, True))
        self.assertEqual(query_for_unit(statement, 2), messages.query(text.replace(b"d=0.5", b"d=2")))

    def test_malformed_statements_raise_an_error(self) -> None:
        good = client_query()[5:-1]
        for text in (
            b"",
            b"SELECT 1",
            b"DROP TABLE kv /* id=1,c=a,d=4 */",
            good + b"x",
            good[:-2],
            good.replace(b"id=", b"ib="),
            good.replace(b"d=480", b"d=x"),
            good.replace(b"c=", b"q="),
            good.replace(b"d=480", b"d=nan"),
            good.replace(b"d=480", b"d=-1"),
            good.replace(b"c=basket", b"c=\xff"),
            good.replace(b"d=480", b"d=4_80"),
            good.replace(b"d=480", b"d=1e2"),
            good.replace(b"d=", b"d=1,d="),
            good.replace(b"id=9b1f", b"id="),
            good.replace(b"id=9b1f", b"id=" + b"9" * 65),
            INSERT.replace(b"'\\x", b"'\\y"),
            good.replace(b",t=acme", b",t"),
            garbage(5, 200),
        ):
            self.assertRaises(statements.StatementError, statements.read, text)


class Http(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

    def replies(self, stream: bytes, piece: int) -> list:
        replies, seen = discovery.ReplyParser(), []
        for first in range(0, len(stream), piece):
            seen += replies.feed(stream[first : first + piece])
        return seen + replies.at_end()

    def test_content_length_and_chunked_bodies_in_pieces(self) -> None:
        stream = (
            self.HEAD
            + b"content-length: 2\r\n\r\n{}"
            + b"HTTP/1.1 100 Continue\r\n\r\n"
            + self.HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\nA\r\n0123456789\r\n"
            + b"0\r\nTrailer: yes\r\n\r\n"
            + b"HTTP/1.1 204 No\r\n\r\n"
            + b"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nConnection: close\r\n\r\nlater"
        )
        for piece in (1, 3, len(stream)):
            self.assertEqual(
                [tuple(each) for each in self.replies(stream, piece)],
                [
                    (200, b"{}", False, 0),
                    (200, b"abc0123456789", False, 0),
                    (204, b"", False, 0),
                    (503, b"later", True, 7),
                ],
            )

    def test_malformed_http_raises_an_error(self) -> None:
        chunked = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for stream in (
            b"SSH-2.0-x\r\n\r\n",
            b"HTTP/1.1 2x0 OK\r\n\r\n",
            self.HEAD + b"nonsense\r\n\r\n",
            self.HEAD + b"Content-Length: -1\r\n\r\n",
            self.HEAD + b"Content-Length: 99999999\r\n\r\n",
            chunked + b"zz\r\n",
            chunked + b"1\r\nabc\r\n",
            chunked + b"fffffff\r\n",
            b"H" * 20000,
        ):
            self.assertRaises(discovery.Unreadable, self.replies, stream, 5)

    def test_malformed_lists_raise_an_error(self) -> None:
        good = {"generation": 1, "reset": True, "instances": [{"instanceId": "a", "hostPort": "10.0.0.1:5"}]}
        self.assertEqual(discovery.read_list(good).entries[0].weight, 1.0)
        for wrong in (
            None,
            [],
            {},
            {"generation": 1},
            {"generation": "x", "instances": []},
            {"generation": 1, "instances": [7]},
            {"generation": 1, "instances": [{}]},
            {"generation": 1, "instances": [{"instanceId": "a", "hostPort": "nowhere"}]},
        ):
            self.assertRaises(discovery.Unreadable, discovery.read_list, wrong)


class Lines(unittest.TestCase):
    STATE = b'{"Revision":42,"Wave":1,"State":"canary","MaxShare":0.28,"AgeMs":310}'

    def test_answers_notifications_and_pings(self) -> None:
        state = platform.PlatformState(42, 1, "on trial", 0.28, 310)
        for line, read in (
            (b'{"jsonrpc":"2.0","id":11,"result":' + self.STATE + b"}", platform.CallResult(11, state, "")),
            (b'{"jsonrpc":"2.0","id":10,"result":true}', platform.CallResult(10, None, "")),
            (b'{"id":9,"error":{"code":-32602,"message":"BUSY"}}', platform.CallResult(9, None, "BUSY")),
            (b'{"method":"stage","params":' + self.STATE + b"}", platform.Notification(state)),
            (b'{"method":"ping"}', platform.Notification(None)),
        ):
            self.assertEqual(platform.read(line), read)

    def test_malformed_lines_raise_an_error(self) -> None:
        for line in (
            b"{",
            b"[]",
            b"7",
            b'{"id":"x"}',
            b'{"method":"stage","params":{"State":"new"}}',
            b'{"id":1,"result":{"Revision":null}}',
            garbage(3, 80),
        ):
            self.assertRaises(platform.Unreadable, platform.read, line)


class Settings(unittest.TestCase):
    def test_nested_json_and_flat_paths_give_the_same_settings(self) -> None:
        tree = {
            "fleetSize": 3,
            "domain": {"mostShares": [0.1, 1.0], "oneWay": False, "span": 2000.0},
            "requestClasses": [{"name": "a", "aim": 1200.0, "effect": "non_idempotent"}],
            "tenants": [],
            "feedback": {"fields": ["util"]},
            "dcs": ["x"],
            "limits": {"dialTimeout": 250.0},
            "unknown": 7,
        }
        pairs = {
            "fleetSize": "3",
            "domain.mostShares": "0.1,1.0",
            "domain.oneWay": "false",
            "domain.span": "2000.0",
            "requestClasses.count": "1",
            "requestClasses.0.name": "a",
            "requestClasses.0.aim": "1200.0",
            "requestClasses.0.effect": "non_idempotent",
            "tenants.count": "0",
            "feedback.fields": "util",
            "dcs": "x",
            "limits.dialTimeout": "250.0",
        }
        nested_leaves = settings.named_settings(settings.nested_leaves(tree))
        self.assertEqual(nested_leaves.pop("customers", []), [])
        self.assertEqual(nested_leaves, settings.named_settings(settings.flat_leaves(pairs)))
        self.assertEqual(nested_leaves["workloads"], [dict(name="a", promised=12000, effect="one-shot")])


class ParserMemory(unittest.TestCase):
    """What parsing takes at its peak, in bytes for each byte of the message."""

    MAX_RATIO = 8  # some copies of the message

    def assert_cheap(self, parse: Callable[[bytes], object], data: bytes) -> None:
        tracemalloc.start()
        try:
            parse(data)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(peak, self.MAX_RATIO * len(data))

    # Guards against a pattern that keeps hundreds of bytes for each character of a value.
    def test_statement_with_the_largest_value_costs_a_few_copies(self) -> None:
        comment = b" /* id=a,c=order,t=acme,d=480 */"
        value = b"\\x" + b"9f" * 65_536
        self.assert_cheap(
            statements.read,
            b"INSERT INTO kv (name, content) VALUES ('a', '" + value + b"') RETURNING content" + comment,
        )
        self.assert_cheap(statements.read, b"SELECT content FROM kv WHERE name = '" + b"a''" * 40_000 + b"'" + comment)

    # Guards against comments and startup messages that cost an object for each of very many short fields.
    def test_very_many_short_fields_cost_a_few_copies(self) -> None:
        fields = b",".join(b"%x=" % number for number in range(30_000))

        for parse, refusal, data in (
            (
                statements.read,
                statements.StatementError,
                b"SELECT content FROM kv WHERE name = 'a' /* id=a,c=order,d=4," + fields + b"*/",
            ),
            (
                messages.parse_first_message,
                messages.ProtocolError,
                struct.pack(">I", 3 << 16) + b"a\0b\0" * 2400 + b"\0",
            ),
        ):

            def parse_refused(data: bytes, parse: Callable = parse, refusal: type = refusal) -> None:
                with self.assertRaises(refusal):
                    parse(data)

            self.assert_cheap(parse_refused, data)
