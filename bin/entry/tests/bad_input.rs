//! Invalid input is rejected at once with its result code, reaches no backend server and doesn't
//! affect other callers.

mod support;

use cowslipchute_resource::service;
use support::backend;
use support::backend::Act;
use support::backend::Backend;
use support::platform::List;
use support::platform::Store;
use yare::parameterized;

/// A request with more headers than the HTTP library accepts.
const MANY: &str = concat!(
    "GET /shop/a HTTP/1.1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "a:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\na:1\r\n",
    "\r\n"
);

const LIMITS: [&str; 2] = ["--head-max=4000", "--body-max=1000"];

#[parameterized(
    no_service = { "GET /nowhere/a HTTP/1.1\r\nhost: x\r\n\r\n", 1102 },
    no_name = { "GET / HTTP/1.1\r\nhost: x\r\n\r\n", 1102 },
    bad_name = { "GET /Shop_/a HTTP/1.1\r\nhost: x\r\n\r\n", 1102 },
    star = { "OPTIONS * HTTP/1.1\r\nhost: x\r\n\r\n", 1100 },
    tunnel = { "CONNECT shop:80 HTTP/1.1\r\nhost: x\r\n\r\n", 1100 },
    trace = { "TRACE /shop/a HTTP/1.1\r\nhost: x\r\n\r\n", 1100 },
    connection = { "GET /shop/a HTTP/1.1\r\nhost: x\r\nconnection: a b\r\n\r\n", 1100 },
    deadline_word = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-deadline-ms: soon\r\n\r\n", 1103 },
    deadline_zero = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-deadline-ms: 0\r\n\r\n", 1103 },
    deadline_sign = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-deadline-ms: +9\r\n\r\n", 1103 },
    deadline_huge = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-deadline-ms: 99999999999999999999\r\n\r\n", 1103 },
    deadline_empty = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-deadline-ms: \r\n\r\n", 1103 },
    deadline_twice = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-deadline-ms: 5\r\ncowslipchute-deadline-ms: 5\r\n\r\n", 1103 },
    key_empty = { "POST /shop/a HTTP/1.1\r\nhost: x\r\nidempotency-key: \r\n\r\n", 1104 },
    key_space = { "POST /shop/a HTTP/1.1\r\nhost: x\r\nidempotency-key: a b\r\n\r\n", 1104 },
    key_bytes = { "POST /shop/a HTTP/1.1\r\nhost: x\r\nidempotency-key: \u{e9}\r\n\r\n", 1104 },
    key_twice = { "POST /shop/a HTTP/1.1\r\nhost: x\r\nidempotency-key: a\r\nidempotency-key: a\r\n\r\n", 1104 },
    class = { "GET /shop/a HTTP/1.1\r\nhost: x\r\ncowslipchute-class: royal\r\n\r\n", 1105 },
    body_length = { "POST /shop/a HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n", 1101 },
    no_http = { "\u{16}\u{3}\u{1} hello\r\n\r\n", 1100 },
    no_version = { "GET /shop/a\r\n\r\n", 1100 },
    other_version = { "GET /shop/a HTTP/9.9\r\n\r\n", 1100 },
    header_name = { "GET /shop/a HTTP/1.1\r\nbad name: x\r\n\r\n", 1100 },
    header_byte = { "GET /shop/a HTTP/1.1\r\nx: a\u{1}b\r\n\r\n", 1100 },
    two_lengths = { "POST /shop/a HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", 1100 },
    length = { "POST /shop/a HTTP/1.1\r\ncontent-length: -1\r\n\r\n", 1100 },
    many_headers = { MANY, 1101 },
    chunk_size = { "POST /shop/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 1100 },
)]
#[test_macro(tokio::test)]
async fn is_told_by_its_number(request: &'static str, code: u16) {
    let server = Backend::open(|_| backend::ok("")).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &LIMITS).await;

    let answer = support::raw::first_answer(entry.address(), request.as_bytes()).await;
    assert!(answer.contains(&format!("cowslipchute-code: {code}\r\n")), "{answer}");
    assert!(answer.contains(&format!("{{\"code\":{code},")), "{answer}");
    assert!(answer.contains("cowslipchute-outcome: not-run\r\n"), "{answer}");
    assert!(server.seen().is_empty(), "nothing reached the backend server");

    let good = support::client().get(entry.url("/shop/a")).send().await.expect("it still serves");
    assert_eq!(support::code(&good), 1000);
    entry.stop().await;
}

#[tokio::test]
async fn too_large_in_any_way_is_refused() {
    let server = Backend::open(|_| backend::ok("")).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &LIMITS).await;
    let client = support::client();

    let long_header = client.get(entry.url("/shop/a")).header("x-long", "y".repeat(5000));
    let long_path = client.get(entry.url(&format!("/shop/{}", "y".repeat(5000))));
    let long_key = client.post(entry.url("/shop/a")).header("idempotency-key", "k".repeat(256));
    let stream =
        futures_util::stream::iter((0..20).map(|_| Ok::<_, std::io::Error>("z".repeat(100))));
    let long_stream = client.post(entry.url("/shop/a")).body(reqwest::Body::wrap_stream(stream));
    let cases = [(long_header, 1101), (long_path, 1101), (long_key, 1104), (long_stream, 1101)];
    for (request, code) in cases {
        let response = request.send().await.expect("the entry answers");
        assert_eq!(support::code(&response), code);
    }
    assert!(server.seen().is_empty());
    entry.stop().await;
}

/// Guards against a forwarded answer that is mistaken for the HTTP library's own error response:
/// the answer's text looks like one, and the shifts move it against the boundaries of writes.
#[tokio::test]
async fn answer_that_looks_like_a_refusal_passes() {
    const LOOK: &str = "HTTP/1.1 4";
    let server = Backend::open(move |seen| {
        let shift = seen.header("x-shift").and_then(|shift| shift.parse().ok()).unwrap_or(0);
        Act::Write(backend::answer("400 Bad Request", "", &shifted(LOOK, shift)))
    })
    .await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;
    let client = support::client();
    for shift in 0..LOOK.len() {
        let request = client.get(entry.url("/shop/a")).header("x-shift", shift);
        let response = request.send().await.expect("the entry answers");
        assert_eq!(support::code(&response), 1000);
        assert_eq!(response.status(), 400);
        assert!(response.text().await.expect("the whole body") == shifted(LOOK, shift));
    }
    entry.stop().await;
}

/// Repeats a text to a length of several megabytes, shifted by `shift` bytes.
fn shifted(text: &str, shift: usize) -> String {
    " ".repeat(shift) + &text.repeat(700_000)
}

/// A request whose body is never completed is rejected after a timeout and doesn't run.
#[tokio::test]
async fn body_that_stays_away_is_given_up() {
    let server = Backend::open(|_| backend::ok("")).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &["--body-within=50"]).await;
    let request = b"POST /shop/a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    let answer = support::raw::first_answer(entry.address(), request).await;
    assert!(answer.contains("cowslipchute-code: 1100\r\n"), "{answer}");
    assert!(server.seen().is_empty());
    entry.stop().await;
}

/// A connection that never sends a whole head is closed after a timeout.
#[tokio::test]
async fn head_that_stays_away_ends_the_connection() {
    let list = List::of("shop", &[]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &["--idle-within=50"]).await;
    let _ = support::raw::exchange(entry.address(), b"GET /shop/a HT").await;
    entry.stop().await;
}

/// Guards against unbounded metric labels: undeclared services from requests share one series.
#[tokio::test]
async fn unknown_services_make_one_series() {
    let server = Backend::open(|_| backend::ok("")).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;
    let client = support::client();
    for number in 0..50 {
        let request = client.get(entry.url(&format!("/made-up-{number}/a")));
        let response = request.send().await.expect("the entry answers");
        assert_eq!(support::code(&response), 1102);
    }
    assert_eq!(entry.series("cowslipchute_requests_total"), 1);
    assert_eq!(entry.metric("cowslipchute_requests_total"), 50.0);
    entry.stop().await;
}

/// Without a configuration requests are rejected with a retry delay.
#[tokio::test]
async fn before_its_configuration_an_entry_is_not_ready() {
    let server = Backend::open(|_| backend::ok("")).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    store.set_down(true);
    let entry = support::open_early(&list, &store, &[]);
    assert!(!entry.ready());
    let response = support::client().get(entry.url("/shop/a")).send().await.unwrap();
    assert_eq!(support::code(&response), 1206);
    assert_eq!(response.headers()["retry-after"], "1");
    assert!(!entry.ready());
    store.set_down(false);
    support::until("the entry is ready", || entry.ready()).await;
    let response = support::client().get(entry.url("/shop/a")).send().await.unwrap();
    assert_eq!(support::code(&response), 1000);
    entry.stop().await;
}
