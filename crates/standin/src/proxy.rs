//! A TCP proxy that injects faults between two processes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
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
    time::sleep,
};

/// Bytes that are passed on at once.
const BUFFER: usize = 16 << 10;

/// Time between two looks at the faults while bytes are held back.
const ROUND: Duration = Duration::from_millis(5);

/// Faults that can be switched while connections are open.
#[derive(Debug, Default)]
pub struct Faults {
    cut: AtomicBool,
    delay_ms: AtomicU64,
    lose: AtomicU64,
    short: AtomicU64,
    duplicate: AtomicBool,
    stalled_requests: AtomicBool,
    stalled_responses: AtomicBool,
    silenced: AtomicU64,
    connections: AtomicU64,
    bytes: AtomicU64,
}

impl Faults {
    /// Cuts the link, or mends it: open connections break and new ones are closed at once.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Relaxed);
    }

    /// Delays everything by this time.
    pub fn delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Relaxed);
    }

    /// Breaks the connection in place of the next `n` answers, after the requests went through.
    pub fn lose_responses(&self, n: u64) {
        self.lose.store(n, Relaxed);
    }

    /// Breaks the connection in the middle of the next `n` answers.
    pub fn truncate_responses(&self, n: u64) {
        self.short.store(n, Relaxed);
    }

    /// Sends every request twice, or no longer does.
    pub fn duplicate(&self, duplicate: bool) {
        self.duplicate.store(duplicate, Relaxed);
    }

    /// Holds back all requests, all answers, or both, and lets them go again: connections stay open.
    pub fn stall(&self, requests: bool, responses: bool) {
        self.stalled_requests.store(requests, Relaxed);
        self.stalled_responses.store(responses, Relaxed);
    }

    /// Connections that are open now give no more answers, and stay open; new ones work.
    pub fn silence_connections(&self) {
        self.silenced.store(self.connections(), Relaxed);
    }

    /// Connections that were taken.
    pub fn connections(&self) -> u64 {
        self.connections.load(Relaxed)
    }

    /// Bytes that went through, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Relaxed)
    }

    /// Takes one of the counted faults, if one is left.
    fn take(counter: &AtomicU64) -> bool {
        let taken = counter.fetch_update(Relaxed, Relaxed, |left| left.checked_sub(1));
        taken.is_ok()
    }
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Arc<Faults>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let shared = Arc::clone(&faults);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = shared.connections.fetch_add(1, Relaxed);
                tokio::spawn(connection(stream, target, Arc::clone(&shared), number));
            }
        });
        Ok(Self { addr, faults })
    }
}

async fn connection(caller: TcpStream, target: SocketAddr, faults: Arc<Faults>, number: u64) {
    if faults.cut.load(Relaxed) {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let second = if faults.duplicate.load(Relaxed) {
        TcpStream::connect(target).await.ok()
    } else {
        None
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    // A connection ends as a whole as soon as one direction does or the link is cut.
    tokio::select! {
        () = requests(from_caller, to_callee, second, &faults) => {}
        () = responses(from_callee, to_caller, &faults, number) => {}
        () = until_cut(&faults) => {}
    }
}

async fn until_cut(faults: &Faults) {
    while !faults.cut.load(Relaxed) {
        sleep(ROUND).await;
    }
}

async fn requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut second: Option<TcpStream>,
    faults: &Faults,
) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        faults.bytes.fetch_add(read as u64, Relaxed);
        until_released(&faults.stalled_requests).await;
        hold(faults).await;
        if let Some(second) = &mut second {
            let _ = second.write_all(&buffer[..read]).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn responses(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, faults: &Faults, number: u64) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        faults.bytes.fetch_add(read as u64, Relaxed);
        until_released(&faults.stalled_responses).await;
        hold(faults).await;
        if number < faults.silenced.load(Relaxed) {
            continue;
        }
        if Faults::take(&faults.lose) {
            return;
        }
        if Faults::take(&faults.short) {
            let _ = to.write_all(&buffer[..read - read.min(5)]).await;
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn until_released(stalled: &AtomicBool) {
    while stalled.load(Relaxed) {
        sleep(ROUND).await;
    }
}

async fn hold(faults: &Faults) {
    let delay = faults.delay_ms.load(Relaxed);
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
}
