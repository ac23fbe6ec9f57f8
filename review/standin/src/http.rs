//! A small HTTP/1.1 server and client on blocking sockets, one thread for each connection.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

/// A request whose body has been read in full.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A response; `None` in its place breaks the connection.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Option<Self> {
        Some(Response {
            status,
            body: body.into(),
        })
    }
}

/// A server that can be stopped.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the port and all connections, as the end of a process does.
    pub fn stop(&self) {
        self.stopped.store(true, Relaxed);
        // Wakes the thread that accepts connections, which then closes the port.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on a free port of 127.0.0.1.
pub fn serve<F>(handle: F) -> Server
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let server = Server {
        address: listener.local_addr().expect("the listener has an address"),
        stopped: Arc::default(),
        connections: Arc::default(),
    };
    let (stopped, connections) = (Arc::clone(&server.stopped), Arc::clone(&server.connections));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stopped.load(Relaxed) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                connections.lock().unwrap().push(copy);
            }
            let handle = Arc::clone(&handle);
            let builder = thread::Builder::new().stack_size(256 << 10);
            let _ = builder.spawn(move || {
                let _ = serve_connection(&stream, &*handle);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    server
}

fn serve_connection(
    stream: &TcpStream,
    handle: &dyn Fn(Request) -> Option<Response>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handle(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), unescape(v))).collect();
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    }))
}

/// Decodes percent-encoded characters.
fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%' && i + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[i + 1..i + 3], 16).ok())
            .flatten();
        match hex {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A caller's request.
pub struct Call<'a> {
    pub address: SocketAddr,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub body: &'a str,
    pub timeout: Duration,
}

/// Sends a request over a new connection. Returns the status, the time to wait before a retry, and the body, or
/// `None` if there is no complete response in time.
pub fn call(call: &Call<'_>) -> Option<(u16, Option<u64>, Vec<u8>)> {
    let until = Instant::now() + call.timeout;
    let mut stream = TcpStream::connect_timeout(&call.address, call.timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nRequest-Deadline-Ms: {}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.host,
        call.timeout.as_millis(),
        call.body.len(),
        call.body
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    let after = headers.get("retry-after").and_then(|s| s.parse().ok());
    Some((status, after, body))
}
