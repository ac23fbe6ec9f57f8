//! Broken, slow or hostile callers get a clear error, run nothing, and do not affect other callers.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use site::{Site, plan};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "place/pool/service";

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 2,
  "services": { "service": { "body_limit": 1000, "timeout_ms": 3000 } } } } } }"#;

/// Starts a site with one entry and two VMs.
fn site() -> Site {
    Site::start(plan(1, 2), &["hall-1"], SETTINGS)
}

/// Sends the bytes unchanged and returns the response: what arrives until its body is complete or the connection
/// ends.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        response.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&response);
        let complete = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            let head = head.to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            length.and_then(|length| length.parse().ok()) == Some(body.len())
        });
        if complete {
            break;
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns a request for the service with the given headers and body.
fn request(headers: &str, body: &str) -> Vec<u8> {
    format!("POST /v1/{SERVICE} HTTP/1.1\r\nhost: x\r\n{headers}\r\n\r\n{body}").into_bytes()
}

#[test]
fn wrong_content_lengths_are_refused() {
    let site = site();
    let addr = site.entries[0].editors;
    let body = "run=1 tag=lie";
    let length = body.len();
    for (headers, status, names_field) in [
        ("content-length: -5".to_owned(), "400", false),
        ("content-length: x".to_owned(), "400", false),
        (
            format!("content-length: {length}\r\ncontent-length: 4"),
            "400",
            false,
        ),
        (
            format!("content-length: {length}\r\ntransfer-encoding: chunked"),
            "411",
            true,
        ),
        (
            format!("transfer-encoding: chunked\r\ncontent-length: {length}"),
            "411",
            true,
        ),
        ("content-length: 5000".to_owned(), "413", true),
    ] {
        let response = send_raw(addr, &request(&headers, body));
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{headers}: {response}"
        );
        assert!(
            !names_field || response.contains("\"field\":\"content-length\""),
            "{response}"
        );
    }
    let response = send_raw(addr, &request("content-length: 500", "run=1 tag=lie"));
    assert!(
        response.starts_with("HTTP/1.1 408"),
        "a body that never ends: {response}"
    );
    assert!(site.runs("lie").is_empty());
    assert_eq!(site.post(0, SERVICE, "run=1", &[]).status, 200);
}

#[test]
fn errors_name_the_field_and_suggest_the_nearest_name() {
    let site = site();
    let past_deadline = ("havenladder-deadline", "1000");
    let malformed_deadline = ("havenladder-deadline", "soon");
    for (service, header, status, text) in [
        (
            "place/pool/servize",
            None,
            404,
            "did you mean /v1/place/pool/service?",
        ),
        ("nothing/like/it/at/all/anywhere", None, 404, "paths are"),
        (SERVICE, Some(past_deadline), 400, "the deadline is past"),
        (
            SERVICE,
            Some(malformed_deadline),
            400,
            "milliseconds since 1970",
        ),
    ] {
        let headers: Vec<_> = header.into_iter().collect();
        let reply = site.post(0, service, "run=1 tag=bad", &headers);
        assert_eq!((reply.status, reply.outcome.as_str()), (status, "not-run"));
        assert!(reply.body.contains(text), "{reply:?}");
    }
    assert!(site.runs("bad").is_empty());
}

#[test]
fn half_open_and_stalled_callers_use_no_thread_and_block_nobody() {
    let site = site();
    let addr = site.entries[0].editors;
    let before = site.thread_count(0);
    let mut connections: Vec<TcpStream> = Vec::new();
    for _ in 0..300 {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream
            .write_all(b"POST /v1/place/pool/service HTTP/1.1\r\nhost")
            .unwrap();
        connections.push(stream);
    }
    for _ in 0..300 {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream
            .write_all(&request("content-length: 100", "run=1 tag=stalled"))
            .unwrap();
        connections.push(stream);
    }
    let began = Instant::now();
    for _ in 0..50 {
        assert_eq!(site.post(0, SERVICE, "run=1", &[]).status, 200);
    }
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(
        site.thread_count(0),
        before,
        "threads grew with connections"
    );
    // The listener closes each connection after its timeout, which is 2 s here.
    for mut stream in connections {
        stream
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    assert!(site.runs("stalled").is_empty());
}

#[test]
fn the_listener_keeps_serving_after_random_bytes() {
    let site = site();
    let mut seed: u64 = 0x9e37_79b9_7f4a_7c15;
    for _ in 0..200 {
        let bytes: Vec<u8> = (0..64)
            .map(|_| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                seed.to_be_bytes()[0]
            })
            .collect();
        let mut stream = TcpStream::connect(site.entries[0].editors).unwrap();
        let _ = stream.write_all(&bytes);
    }
    assert_eq!(site.post(0, SERVICE, "run=1", &[]).status, 200);
}

#[test]
fn requests_without_the_key_read_and_change_nothing() {
    let site = site();
    for (addr, path) in [
        (site.entries[0].operators, "state"),
        (site.entries[0].operators, "metrics"),
        (site.entries[0].peers, "status"),
        (site.entries[0].peers, "snapshot"),
    ] {
        for key in [
            "",
            "havenladder-key: wrong\r\n",
            "authorization: Bearer wrong\r\n",
        ] {
            let response = send_raw(
                addr,
                format!("GET /{path} HTTP/1.1\r\nhost: x\r\n{key}\r\n").as_bytes(),
            );
            assert!(
                response.starts_with("HTTP/1.1 401"),
                "{path} {key}: {response}"
            );
        }
    }
    let order = "{\"Wave\":{\"Start\":{\"scope\":\"place\"}}}";
    let head = format!(
        "POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        order.len()
    );
    let response = send_raw(
        site.entries[0].operators,
        format!("{head}{order}").as_bytes(),
    );
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(site.state(0)["waves"].as_object().unwrap().is_empty());
}

/// Interval between two callers of a `tiny_http` server.
const CALLER_INTERVAL: Duration = Duration::from_millis(2);

/// Measures why the listener for callers does not use `tiny_http`; docs/DESIGN.md cites this test.
#[test]
fn tiny_http_accepts_wrong_lengths_and_needs_a_thread_per_half_open_caller() {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let _ = request.respond(tiny_http::Response::from_string("taken"));
        }
    });
    let response = send_raw(
        addr,
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n",
    );
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let response = send_raw(
        addr,
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\nab",
    );
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let before = site::thread_count(std::process::id());
    let connections: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.write_all(b"POST / HTTP/1.1\r\nhost").unwrap();
            // Callers that come before the server's idle threads have woken are queued behind these and get no thread.
            thread::sleep(CALLER_INTERVAL);
            stream
        })
        .collect();
    let limit = Instant::now() + site::WAIT_TIMEOUT;
    while site::thread_count(std::process::id()) < before + 200 {
        assert!(
            Instant::now() < limit,
            "tiny_http no longer needs a thread for each caller"
        );
        thread::sleep(Duration::from_millis(10));
    }
    drop(connections);
}
