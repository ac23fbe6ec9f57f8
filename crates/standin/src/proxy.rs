//! A TCP proxy that injects faults between two processes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Instant, sleep, sleep_until},
};

/// Size of the buffer in which each direction of a connection is forwarded.
const BUFFER_BYTES: usize = 16 << 10;

/// Size of the packets that pass a link of limited bandwidth.
const PACKET_BYTES: usize = 1_500;

/// Time between two checks of the faults while bytes are held back.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A link of limited bandwidth that several proxies share, as the processes behind one network
/// interface do. Bytes pass in the order in which they arrive.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: u64,
    /// Time at which the link has passed all bytes so far.
    free_at: Mutex<Instant>,
}

impl Link {
    /// Returns a link that passes this many bytes a second.
    pub fn new(bytes_per_s: u64) -> Self {
        Link {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until the link has passed a number of bytes.
    async fn pass(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        let passed_at = {
            let mut free_at = self.free_at.lock().expect("no thread panics here");
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(passed_at).await;
    }
}

/// Faults that can be switched on and off while connections are open.
#[derive(Debug, Default)]
pub struct Faults {
    /// Link that requests share with those of other proxies; `None` if its bandwidth is unlimited.
    link: Mutex<Option<Arc<Link>>>,
    /// The same for responses.
    response_link: Mutex<Option<Arc<Link>>>,
    cut: AtomicBool,
    delay_ms: AtomicU64,
    lost_responses: AtomicU64,
    truncated_responses: AtomicU64,
    duplicate: AtomicBool,
    stalled_requests: AtomicBool,
    stalled_responses: AtomicBool,
    lost_request_bytes: AtomicBool,
    lost_response_bytes: AtomicBool,
    silenced: AtomicU64,
    connections: AtomicU64,
    bytes: AtomicU64,
}

impl Faults {
    /// Cuts the link, or restores it. While it is cut, open connections break and new ones are
    /// closed immediately.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Relaxed);
    }

    /// Lets all further requests pass through a link, and restores unlimited bandwidth with `None`.
    pub fn share_link(&self, link: Option<Arc<Link>>) {
        *self.link.lock().expect("no thread panics here") = link;
    }

    /// Lets all further responses pass through a link, and restores unlimited bandwidth with `None`.
    pub fn share_response_link(&self, link: Option<Arc<Link>>) {
        *self.response_link.lock().expect("no thread panics here") = link;
    }

    /// Returns the link that responses pass through, if there is one.
    fn response_link(&self) -> Option<Arc<Link>> {
        let link = self.response_link.lock();
        link.expect("no thread panics here").clone()
    }

    /// Delays every chunk of bytes by `delay`, in both directions.
    pub fn delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Relaxed);
    }

    /// Breaks the connection instead of forwarding the next `n` responses; their requests were
    /// forwarded.
    pub fn lose_responses(&self, n: u64) {
        self.lost_responses.store(n, Relaxed);
    }

    /// Breaks the connection in the middle of each of the next `n` responses.
    pub fn truncate_responses(&self, n: u64) {
        self.truncated_responses.store(n, Relaxed);
    }

    /// Sends every request over a second connection as well, or stops doing so.
    pub fn duplicate(&self, duplicate: bool) {
        self.duplicate.store(duplicate, Relaxed);
    }

    /// Holds back requests, responses or both, or releases them. Connections stay open.
    pub fn stall(&self, requests: bool, responses: bool) {
        self.stalled_requests.store(requests, Relaxed);
        self.stalled_responses.store(responses, Relaxed);
    }

    /// Loses requests, responses or both, or stops doing so. Connections stay open; one that has lost bytes loses all
    /// further ones in that direction.
    pub fn lose_bytes(&self, requests: bool, responses: bool) {
        self.lost_request_bytes.store(requests, Relaxed);
        self.lost_response_bytes.store(responses, Relaxed);
    }

    /// Drops all further responses on the connections that are open now, which stay open. New
    /// connections work.
    pub fn silence_connections(&self) {
        self.silenced.store(self.connections(), Relaxed);
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Relaxed)
    }

    /// Returns the number of bytes read so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Relaxed)
    }

    /// Uses up one of the counted faults; returns false if none is left.
    fn use_up(counter: &AtomicU64) -> bool {
        let result = counter.fetch_update(Relaxed, Relaxed, |left| left.checked_sub(1));
        result.is_ok()
    }
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub addr: SocketAddr,
    /// Faults that the proxy injects.
    pub faults: Arc<Faults>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any_port, target).await
    }

    /// Starts a proxy in front of `target` that listens on a given address.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let addr = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let shared = Arc::clone(&faults);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = shared.connections.fetch_add(1, Relaxed);
                tokio::spawn(forward_connection(
                    stream,
                    target,
                    Arc::clone(&shared),
                    number,
                ));
            }
        });
        Ok(Self { addr, faults })
    }
}

async fn forward_connection(
    caller: TcpStream,
    target: SocketAddr,
    faults: Arc<Faults>,
    number: u64,
) {
    if faults.cut.load(Relaxed) {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let duplicate_connection = if faults.duplicate.load(Relaxed) {
        TcpStream::connect(target).await.ok()
    } else {
        None
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    // Both directions end as soon as one of them ends or the link is cut.
    tokio::select! {
        () = forward_requests(from_caller, to_callee, duplicate_connection, &faults) => {}
        () = forward_responses(from_callee, to_caller, &faults, number) => {}
        () = until_cut(&faults) => {}
    }
}

async fn until_cut(faults: &Faults) {
    while !faults.cut.load(Relaxed) {
        sleep(POLL_INTERVAL).await;
    }
}

async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut duplicate_connection: Option<TcpStream>,
    faults: &Faults,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_lost = false;
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        faults.bytes.fetch_add(read as u64, Relaxed);
        is_lost |= faults.lost_request_bytes.load(Relaxed);
        if is_lost {
            continue;
        }
        until_released(&faults.stalled_requests).await;
        let link = faults.link.lock().expect("no thread panics here").clone();
        if let Some(link) = link {
            link.pass(read).await;
        }
        wait_for_delay(faults).await;
        if let Some(duplicate_connection) = &mut duplicate_connection {
            let _ = duplicate_connection.write_all(&buffer[..read]).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn forward_responses(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: &Faults,
    number: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_lost = false;
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        faults.bytes.fetch_add(read as u64, Relaxed);
        until_released(&faults.stalled_responses).await;
        wait_for_delay(faults).await;
        is_lost |= faults.lost_response_bytes.load(Relaxed);
        if is_lost || number < faults.silenced.load(Relaxed) {
            continue;
        }
        if Faults::use_up(&faults.lost_responses) {
            return;
        }
        if Faults::use_up(&faults.truncated_responses) {
            let _ = to.write_all(&buffer[..read - read.min(5)]).await;
            return;
        }
        if write_responses(&mut to, &buffer[..read], faults)
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Writes bytes of responses, packet by packet if they share a link.
async fn write_responses(
    to: &mut OwnedWriteHalf,
    bytes: &[u8],
    faults: &Faults,
) -> std::io::Result<()> {
    let Some(link) = faults.response_link() else {
        return to.write_all(bytes).await;
    };
    for packet in bytes.chunks(PACKET_BYTES) {
        link.pass(packet.len()).await;
        to.write_all(packet).await?;
    }
    Ok(())
}

async fn until_released(stalled: &AtomicBool) {
    while stalled.load(Relaxed) {
        sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_delay(faults: &Faults) {
    let delay = faults.delay_ms.load(Relaxed);
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
}
