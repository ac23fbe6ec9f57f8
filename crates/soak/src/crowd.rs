//! Clients that do not behave: each opens a connection, sends a part of a request and then stands still, or sends
//! more than it may. A crowd of them connects again whenever its connections are closed, until it is dismissed.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

/// The size of a write. Larger texts are sent in several of them.
const WRITE_BYTES: usize = 64 << 10;

/// The time after which a client that cannot write any more counts as standing still.
const BLOCKED_TIME: Duration = Duration::from_secs(5);

/// The pause before a client whose connection was closed connects again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum length of the response that is kept of a connection.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

/// What a client sends before it stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Nothing at all.
    Silent,
    /// A head of this many bytes without an end, in lines of 4,000 bytes.
    OpenHead(usize),
    /// A header line of this many bytes without an end.
    OpenLine(usize),
    /// A body of `bytes` in chunks of `chunk`, without an end.
    Chunks {
        /// Number of bytes in all chunks together.
        bytes: usize,
        /// Number of bytes of each chunk.
        chunk: usize,
    },
    /// A body of this many bytes, which is announced with one byte more.
    Short(usize),
    /// A body in chunks whose trailer of this many bytes has no end.
    OpenTrailer(usize),
    /// A body of `bytes` of which `sent` are sent, each in a packet of its own.
    Drip {
        /// Announced length of the body.
        bytes: usize,
        /// Number of bytes that are sent.
        sent: usize,
    },
    /// A whole request for the state of a job, and then this many bytes of further requests, whose responses are not
    /// read.
    Pipeline(usize),
    /// A whole job of this many steps without content.
    EmptySteps(usize),
    /// A whole job of this many steps of one task each.
    SmallSteps(usize),
    /// Whole requests, this many one after the other, each with a method of its own of 8,000 bytes.
    Methods(usize),
}

/// The length of the methods of [`Shape::Methods`].
const METHOD_BYTES: usize = 8_000;

/// The pause between two packets of [`Shape::Drip`], so that each of them is read by itself.
const DRIP_INTERVAL: Duration = Duration::from_millis(10);

/// The listener that a crowd connects to, and the first line of its requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Host of the requests.
    pub host: String,
    /// Method and path of the requests. Each job of a crowd has an id of its own, which is appended.
    pub path: String,
}

/// Whether the clients of a crowd connect again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// A client whose connection was closed stays away.
    Never,
    /// A client whose connection was closed connects again.
    Always,
}

/// State of a crowd, shared by its clients.
#[derive(Debug, Default)]
struct Shared {
    settled: AtomicUsize,
    dismissed: AtomicBool,
    responses: Mutex<Vec<String>>,
}

/// A crowd of clients of one shape.
pub struct Crowd {
    shared: Arc<Shared>,
    clients: JoinSet<()>,
    count: usize,
}

impl Crowd {
    /// Lets `count` clients connect.
    pub fn gather(target: &Target, shape: Shape, count: usize, comes_again: Return) -> Self {
        let shared = Arc::new(Shared::default());
        let mut clients = JoinSet::new();
        for number in 0..count {
            let client = Client {
                target: target.clone(),
                shape,
                number,
                shared: Arc::clone(&shared),
            };
            clients.spawn(client.run(comes_again));
        }
        Crowd {
            shared,
            clients,
            count,
        }
    }

    /// Waits until each client has sent all of its bytes, cannot send more, or has lost its connection.
    pub async fn wait_settled(&self) {
        while self.shared.settled.load(Relaxed) < self.count {
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the responses so far: of each connection, the first bytes.
    ///
    /// # Panics
    ///
    /// Panics if a client has panicked.
    pub fn responses(&self) -> Vec<String> {
        let responses = self.shared.responses.lock();
        responses.expect("no thread panics here").clone()
    }

    /// Waits until all connections have ended, without closing any. No client connects again.
    pub async fn wait_closed(&mut self) {
        self.shared.dismissed.store(true, Relaxed);
        while self.clients.join_next().await.is_some() {}
    }

    /// Closes all connections.
    pub async fn dismiss(mut self) {
        self.clients.shutdown().await;
    }
}

/// One client of a crowd.
struct Client {
    target: Target,
    shape: Shape,
    number: usize,
    shared: Arc<Shared>,
}

impl Client {
    async fn run(self, comes_again: Return) {
        let mut settled = false;
        for round in 0.. {
            let mut response = Vec::new();
            // An error ends the connection, like its regular end.
            let _ = self.connect(round, &mut settled, &mut response).await;
            if !response.is_empty() {
                let text = String::from_utf8_lossy(&response).into_owned();
                let mut responses = self.shared.responses.lock().expect("no thread panics here");
                responses.push(text);
            }
            self.settle(&mut settled);
            if comes_again == Return::Never || self.shared.dismissed.load(Relaxed) {
                return;
            }
            time::sleep(RECONNECT_INTERVAL).await;
        }
    }

    fn settle(&self, settled: &mut bool) {
        if !*settled {
            *settled = true;
            self.shared.settled.fetch_add(1, Relaxed);
        }
    }

    /// Opens a connection, sends the client's bytes and then waits until the connection ends.
    async fn connect(
        &self,
        round: usize,
        settled: &mut bool,
        response: &mut Vec<u8>,
    ) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.target.address).await?;
        stream.set_nodelay(true)?;
        let sent = self.send(round, &mut stream).await;
        self.settle(settled);
        // A client whose request was refused may not have sent all of it, but reads the response.
        if let (Shape::Pipeline(_), Ok(())) = (self.shape, &sent) {
            return std::future::pending().await;
        }
        let mut buffer = [0; 1_024];
        loop {
            let read = stream.read(&mut buffer).await?;
            if read == 0 {
                return sent;
            }
            if response.len() < MAX_RESPONSE_BYTES {
                response.extend_from_slice(&buffer[..read]);
            }
        }
    }

    /// Sends whole requests with methods of their own, and waits for the response to each.
    async fn call_by_methods(&self, stream: &mut TcpStream, count: usize) -> io::Result<()> {
        let host = &self.target.host;
        let mut buffer = [0; 4_096];
        for number in 0..count {
            let unique = format!("{}X{number}X", self.number);
            let method = format!("{unique}{}", "A".repeat(METHOD_BYTES - unique.len()));
            let call = format!("{method} /x HTTP/1.1\r\nhost: {host}\r\n\r\n");
            stream.write_all(call.as_bytes()).await?;
            // The response is small.
            if stream.read(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the first lines of a request with an id of its own, without the empty line that ends its head.
    fn head(&self, round: usize) -> String {
        let Target { host, path, .. } = &self.target;
        let id = 0xC0_0000_0000_u64 + ((round as u64) << 16) + self.number as u64;
        format!("{path}{id:016x} HTTP/1.1\r\nhost: {host}\r\n")
    }

    async fn send(&self, round: usize, stream: &mut TcpStream) -> io::Result<()> {
        let head = self.head(round);
        match self.shape {
            Shape::Silent => Ok(()),
            Shape::OpenHead(bytes) => {
                let line = format!("x-header: {}\r\n", "a".repeat(3_988));
                write(stream, &head, &line, bytes / line.len()).await
            }
            Shape::OpenLine(bytes) => {
                let part = "a".repeat(1 << 10);
                write(stream, &format!("{head}x-header: "), &part, bytes >> 10).await
            }
            Shape::Chunks { bytes, chunk } => {
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                let part = format!("{chunk:x}\r\n{}\r\n", " ".repeat(chunk));
                write(stream, &head, &part, bytes / chunk).await
            }
            Shape::Short(bytes) => {
                let head = format!("{head}content-length: {}\r\n\r\n", bytes + 1);
                write(stream, &head, " ", bytes).await
            }
            Shape::OpenTrailer(bytes) => {
                let head = format!(
                    "{head}transfer-encoding: chunked\r\n\r\n2\r\n{{}}\r\n0\r\nx-trailer: "
                );
                write(stream, &head, "a", bytes).await
            }
            Shape::Drip { bytes, sent } => {
                let head = format!("{head}content-length: {bytes}\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                for _ in 0..sent {
                    time::sleep(DRIP_INTERVAL).await;
                    stream.write_all(b" ").await?;
                }
                Ok(())
            }
            Shape::Pipeline(bytes) => {
                let request = format!("{head}\r\n");
                write(stream, &request, &request, bytes / request.len()).await
            }
            Shape::EmptySteps(steps) => write_job(stream, &head, "{}", steps).await,
            Shape::Methods(count) => self.call_by_methods(stream, count).await,
            Shape::SmallSteps(steps) => write_job(stream, &head, r#"{"count":1}"#, steps).await,
        }
    }
}

/// Writes a whole job of equal steps.
async fn write_job(stream: &mut TcpStream, head: &str, step: &str, steps: usize) -> io::Result<()> {
    let body = format!(r#"{{"steps":[{}]}}"#, vec![step; steps].join(","));
    let head = format!("{head}content-length: {}\r\n\r\n", body.len());
    write(stream, &head, &body, 1).await
}

/// Writes a head and `count` copies of a part. Returns early if the connection takes no more bytes.
async fn write(stream: &mut TcpStream, head: &str, part: &str, count: usize) -> io::Result<()> {
    let mut text = head.as_bytes().to_vec();
    for number in 1..=count {
        text.extend_from_slice(part.as_bytes());
        if text.len() < WRITE_BYTES && number < count {
            continue;
        }
        if let Ok(written) = time::timeout(BLOCKED_TIME, stream.write_all(&text)).await {
            written?;
        } else {
            return Ok(());
        }
        text.clear();
    }
    stream.write_all(&text).await
}
