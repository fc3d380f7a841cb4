"""Tests of malformed input, the query language, the settings and an OpenAI client."""

import asyncio
import json

import hypothesis.strategies as st
import openai
import testtools
from hypothesis import given, settings

from lynxchute.callers.dialect import ChatCall, ChatDialect
from lynxchute.callers.question import parse_chat_request
from lynxchute.config.document import (
    FleetDocument,
    RouteDocument,
    ServiceDocument,
    ServiceKind,
    UpstreamDocument,
    check_document,
)
from lynxchute.http import Request
from lynxchute.operators.language import parse, to_text
from lynxchute.operators.query import run_query
from lynxchute.operators.statements import (
    Compare,
    Condition,
    CreateAccount,
    DropAccount,
    SetDraining,
    SetService,
    Show,
    TopUpStatement,
)
from lynxchute.relay.events import EventSplitter
from lynxchute.settings import load_router_settings
from lynxchute.standins.deployment import MODEL, caller_key
from lynxchute.standins.text import answer_tokens
from tests.support import (
    ACCOUNT,
    AsyncTestCase,
    Caller,
    question,
    with_deployment,
)

NAMES = st.from_regex(r"[a-z_][a-z0-9_.:/-]{0,12}", fullmatch=True)
NUMBERS = st.integers(-(10**9), 10**9)
OPERATIONS = st.one_of(st.just(""), NAMES)
CONDITIONS = st.builds(
    Condition,
    NAMES,
    st.sampled_from(["=", "!=", "<", "<=", ">", ">=", "~"]),
    st.one_of(NUMBERS, st.from_regex(r"[^'\n]{0,8}", fullmatch=True)),
)
STATEMENTS = st.one_of(
    st.builds(
        Show,
        NAMES,
        st.lists(CONDITIONS, max_size=3).map(tuple),
        st.lists(NAMES, max_size=2).map(tuple),
        st.one_of(st.just(""), NAMES),
        st.just(False),
        st.one_of(st.none(), st.integers(0, 1000)),
    ),
    st.builds(TopUpStatement, NAMES, NUMBERS, OPERATIONS),
    st.builds(
        SetDraining,
        st.sampled_from(["vm", "upstream"]),
        NAMES,
        st.booleans(),
        OPERATIONS,
    ),
    st.builds(CreateAccount, NAMES, NAMES, OPERATIONS),
    st.builds(DropAccount, NAMES, OPERATIONS),
    st.builds(SetService, NAMES, NAMES, OPERATIONS),
    st.builds(Compare, st.integers(0, 99), st.integers(0, 99)),
)


class LanguageTest(testtools.TestCase):
    @given(STATEMENTS)
    @settings(max_examples=300)
    def test_printed_statements_parse_back(self, statement):
        parsed = parse(to_text(statement))
        self.assertTrue(parsed.is_ok(), to_text(statement))
        self.assertEqual(statement, parsed.ok)

    @given(st.text(max_size=60))
    @settings(max_examples=300)
    def test_no_text_breaks_the_parser(self, text):
        result = parse(text)
        self.assertTrue(result.is_ok() or result.error)

    def test_a_typo_suggests_the_nearest_word(self):
        (mistake,) = parse("show budgets odrer by free").error
        self.assertEqual((14, "order"), (mistake.column, mistake.suggestion))

    def test_all_mistakes_of_a_query_are_reported_together(self):
        show = Show("budgets", (Condition("fre", "=", 1),), (), "chraged")
        mistakes = run_query(show, ("free", "charged"), []).error
        self.assertEqual(2, len(mistakes))
        self.assertIn("'charged'", mistakes[1])

    def test_groups_are_summed(self):
        show = Show("grants", (), ("account",), "owned", True)
        rows = [{"account": "a", "owned": 1}, {"account": "b", "owned": 5}]
        rows.append({"account": "a", "owned": 2})
        found = run_query(show, ("account", "owned"), rows).ok
        self.assertEqual(
            [("b", 5), ("a", 3)], [(r["account"], r["owned"]) for r in found]
        )


class SettingsTest(testtools.TestCase):
    def test_all_findings_are_reported_with_their_locations(self):
        text = "vm: a\ndata_centre: b\nlisten: {callers: nowhere}\nstroe: {}\n"
        findings = load_router_settings(text, "router.yaml").error
        places = {(f.line, f.path) for f in findings}
        self.assertIn((3, "listen.callers"), places)
        self.assertIn((4, "stroe"), places)
        advice = next(f.advice for f in findings if f.path == "stroe")
        self.assertEqual("Did you mean 'store'?", advice)
        self.assertGreater(len(findings), 4)

    def test_an_inconsistent_configuration_is_rejected(self):
        document = FleetDocument(
            services=(ServiceDocument(name="s", kind=ServiceKind.PLAIN),),
            upstreams=(
                UpstreamDocument(
                    name="u", service="t", data_centre="a", address="nowhere"
                ),
            ),
            routes=(
                RouteDocument(name="r", service="s", model="m"),
                RouteDocument(name="r", service="s", prefix="/x"),
            ),
        )
        found = {}
        check_document(document, lambda path, *rest: found.setdefault(path, rest))
        expected = {
            "upstreams[0].address",
            "upstreams[0].service",
            "routes[0].service",
            "routes[1].name",
            "routes[1].prefix",
        }
        self.assertEqual(expected, set(found))

    @given(st.text(max_size=80))
    @settings(max_examples=100)
    def test_no_document_breaks_the_loader(self, text):
        result = load_router_settings(text, "router.yaml")
        self.assertTrue(result.is_error())
        self.assertTrue(all(f.line >= 1 for f in result.error))


class EventsTest(testtools.TestCase):
    @given(st.lists(st.integers(1, 40), max_size=30))
    @settings(max_examples=200)
    def test_any_chunking_gives_the_same_events(self, sizes):
        usage = b'data: {"choices":[],"usage":{"total_tokens":9}}\n\n'
        tokens = b"".join(b'data: {"n":%d}\n\n' % number for number in range(5))
        stream = tokens + usage + b"data: [DONE]\n\n"
        dialect, splitter = ChatDialect(64), EventSplitter()
        call = ChatCall(request=Request("POST", "/", {}), request_id="r", host="m")
        out, count, usages = b"", 0, []
        for size in [*sizes, len(stream)]:
            piece, stream = stream[:size], stream[size:]
            events = splitter.feed(piece)
            if events is None:
                continue
            count += events.count
            data = events.data
            if dialect.reported_tokens(data) is not None:
                usages.append(dialect.reported_tokens(data))
                data = dialect.caller_events(call, data)
            out += data
        self.assertEqual(tokens + b"data: [DONE]\n\n", out)
        self.assertEqual((7, [9], b""), (count, usages, splitter.rest))

    def test_usage_in_model_output_is_not_parsed_as_usage(self):
        content = json.dumps({"content": '{"usage": {"total_tokens": 1}}'})
        self.assertIsNone(ChatDialect(64).reported_tokens(b"data: " + content.encode()))


class ChatRequestTest(testtools.TestCase):
    @given(
        st.recursive(
            st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=5)),
            lambda inner: st.one_of(
                st.lists(inner, max_size=3),
                st.dictionaries(
                    st.sampled_from(
                        ["model", "messages", "max_tokens", "role", "content", "stream"]
                    ),
                    inner,
                    max_size=5,
                ),
            ),
            max_leaves=12,
        )
    )
    @settings(max_examples=300)
    def test_any_json_can_be_validated(self, value):
        body = json.dumps(value).encode()
        result = parse_chat_request(Request("POST", "/", {}, body))
        if result.is_ok():
            self.assertGreater(result.ok.prompt_bound, 0)


class BadInputTest(AsyncTestCase):
    SHAPES = (
        b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        b"GET / HTTP/1.1\r\nX: " + b"a" * 40_000 + b"\r\n\r\n",
        b"\x00\xff\xfe\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\n Host: a\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\nx",
    )

    def test_bad_requests_reserve_nothing_and_break_nothing(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            chat = "/v1/chat/completions"
            for value in (
                None,
                [],
                {"model": MODEL},
                question(max_tokens=-1),
                question(max_tokens=10**9),
                question(max_tokens="many"),
                {**question(), "messages": [{"role": 1}]},
            ):
                status, _, body = await caller.send("POST", chat, value)
                self.assertIn(status, (400, 422))
                self.assertEqual("not_run", json.loads(body)["run"])
            status, _, _ = await caller.send("POST", chat, question(model="none"))
            self.assertEqual(404, status)
            status, _, _ = await caller.send("GET", "/nowhere")
            self.assertEqual(404, status)
            status, _, _ = await caller.send("POST", chat, "x" * 2_000_000)
            self.assertEqual(413, status)
            for router in deployment.routers_by_vm.values():
                self.assertEqual({}, router.ledger_sync.ledger.reservations_by_id)
                self.assertEqual(0, router.relay.open_requests)

        with_deployment(self, scenario)

    def test_raw_bytes_do_not_crash_a_router(self):
        @given(st.one_of(st.sampled_from(self.SHAPES), st.binary(max_size=200)))
        @settings(max_examples=60)
        def send(data):
            answer = loop.run_until_complete(self._send_raw(port, data))
            self.assertNotIn(b"200 OK", answer[:20])

        from tests.support import Deployment, small_shape

        loop = asyncio.new_event_loop()
        deployment = Deployment(small_shape())
        loop.run_until_complete(deployment.start())
        port = deployment.caller_port("kyu-a-1")
        try:
            send()
            caller = Caller(deployment, "kyu-a-1")
            status, _, _ = loop.run_until_complete(caller.ask(question()))
            self.assertEqual(200, status)
        finally:
            loop.run_until_complete(deployment.stop())
            loop.close()

    async def _send_raw(self, port, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.write_eof()
        try:
            return await reader.read(1000)
        except ConnectionError:
            return b""
        finally:
            writer.close()


class ClientLibraryTest(AsyncTestCase):
    def test_an_openai_client_gets_whole_answers_in_two_data_centres(self):
        async def scenario(deployment):
            for vm in ("kyu-a-1", "kyu-b-1"):
                client = openai.AsyncOpenAI(
                    api_key=caller_key(ACCOUNT),
                    base_url=f"http://127.0.0.1:{deployment.caller_port(vm)}/v1",
                )
                prompt = question(f"asked at {vm}")
                expected = "".join(answer_tokens(prompt))
                whole = await client.chat.completions.create(**prompt)
                self.assertEqual(expected, whole.choices[0].message.content)
                text = ""
                stream = await client.chat.completions.create(**prompt, stream=True)
                async for chunk in stream:
                    text += chunk.choices[0].delta.content or ""
                self.assertEqual(expected, text)
                models = await client.models.list()
                self.assertEqual([MODEL], [model.id for model in models.data])
                await client.close()

        with_deployment(self, scenario)
