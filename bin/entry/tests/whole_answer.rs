//! A request is sent to a backend server and its whole answer is returned.

mod support;

use cowslipchute_ports::backend;
use cowslipchute_resource::service;
use support::backend::Act;
use support::backend::Backend;
use support::platform::List;
use support::platform::Store;
use yare::parameterized;

#[tokio::test]
async fn path_headers_and_body_pass_and_the_code_is_added() {
    let server = Backend::open(|_| {
        let headers = "x-web: shop\r\nconnection: x-hop\r\nx-hop: 1\r\n";
        Act::Write(support::backend::answer("201 Created", headers, "lift slot 7"))
    })
    .await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;

    let request = support::client().post(entry.url("/shop/slots/7?day=2"));
    let request = request.header("x-caller", "harbour").header("cowslipchute-deadline-ms", "900");
    let response = request.body("research 12").send().await.expect("the entry answers");

    assert_eq!(response.status(), 201);
    assert_eq!(support::code(&response), 1000);
    assert_eq!(response.headers()["cowslipchute-outcome"], "answered");
    assert_eq!(response.headers()["x-web"], "shop");
    assert!(!response.headers().contains_key("x-hop"), "hop-by-hop headers are not forwarded");
    assert_eq!(response.text().await.expect("the whole body"), "lift slot 7");

    let seen = server.seen();
    assert_eq!(seen.len(), 1);
    assert!(seen[0].head.starts_with("POST /slots/7?day=2 HTTP/1.1\r\n"), "{}", seen[0].head);
    assert_eq!(seen[0].body, "research 12");
    assert_eq!(seen[0].header("x-caller"), Some("harbour"));
    assert!(seen[0].header(backend::ATTEMPT_HEADER).is_some());
    let left = seen[0].header(backend::DEADLINE_HEADER).expect("the deadline is forwarded");
    assert!((1..=900).contains(&left.parse::<u64>().expect("milliseconds")), "{left}");
    entry.stop().await;
}

/// Every form of answer that is delimited is forwarded whole.
#[parameterized(
    empty = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 200, "" },
    no_content = { "HTTP/1.1 204 No Content\r\n\r\n", 204, "" },
    not_modified = { "HTTP/1.1 304 Not Modified\r\netag: a\r\n\r\n", 304, "" },
    chunks = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlift\r\n5\r\n slot\r\n0\r\n\r\n", 200, "lift slot"
    },
    after_continue = {
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlift", 200, "lift"
    },
    redirect = { "HTTP/1.1 302 Found\r\nlocation: http://127.0.0.1:1/\r\ncontent-length: 0\r\n\r\n", 302, "" },
    server_error = { "HTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\noops", 500, "oops" },
)]
#[test_macro(tokio::test)]
async fn answer_comes_through_as_it_is(text: &'static str, status: u16, body: &str) {
    let server = Backend::open(|_| Act::Write(text.to_owned())).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;
    let request = support::client().post(entry.url("/shop/a"));
    let response = request.send().await.expect("the entry answers");
    assert_eq!(response.status(), status);
    assert_eq!(support::code(&response), 1000);
    assert_eq!(response.text().await.expect("the whole body"), body);
    assert_eq!(server.seen().len(), 1);
    entry.stop().await;
}

#[tokio::test]
async fn head_keeps_the_length_that_it_tells() {
    let server =
        Backend::open(|_| Act::Write("HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n".to_owned()))
            .await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;
    let request = support::client().head(entry.url("/shop/a"));
    let response = request.send().await.expect("the entry answers");
    assert_eq!(support::code(&response), 1000);
    assert_eq!(response.headers()["content-length"], "1234");
    entry.stop().await;
}

/// Bodies of a size that takes many chunks, in both directions.
#[tokio::test]
async fn large_bodies_pass_whole() {
    let server = Backend::open(|seen| backend_echo(&seen.body)).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;
    let body = "0123456789abcdef".repeat(60_000);
    let request = support::client().post(entry.url("/shop/a")).body(body.clone());
    let response = request.send().await.expect("the entry answers");
    assert_eq!(support::code(&response), 1000);
    assert!(response.text().await.expect("the whole body") == body.repeat(4));
    entry.stop().await;
}

fn backend_echo(body: &str) -> Act {
    support::backend::ok(&body.repeat(4))
}
