//! What entries ask of the cell's owner, over HTTP with MessagePack.

use super::{
    feed, feeding,
    in_force::{Caller, Written},
    lease_record::release_for,
    listen::{self, Reply, accept_each},
    node::{Lease, Node},
    outage,
    reach::{self, Presence},
};
use adapter::{
    http::{Call, CallError, Connection},
    operator::Version,
};
use clock::Instant;
use fleet::{MilliCpu, Seeker, Source};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Response, StatusCode, body::Incoming};
use jobs::{HallDrains, JobId, Phase, QueueId, Submission};
use serde::{Deserialize, Serialize};
use std::{fmt, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// The path of a question.
const PATH: &str = "/ask";

/// The longest question: a job's body may have 262,144 bytes.
const LONGEST: usize = 1 << 20;

/// What a caller wants.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Wish {
    /// Take this job.
    Submit {
        /// The job.
        given: Submission,
        /// For how many ms its record may be waited for.
        within: u64,
    },
    /// Cancel this job.
    Cancel(JobId),
    /// How far is this job?
    State(JobId),
    /// How many jobs of the queue have not begun?
    Pending,
}

/// A caller's wish, as the entry that took the call has judged it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Who makes the call. Keys stay at the entry that takes it.
    pub caller: Caller,
    /// The queue that was called.
    pub queue: QueueId,
    /// The configuration by which the call was judged: an owner that knows a newer one has it judged anew.
    pub version: Version,
    /// What the caller wants.
    pub wish: Wish,
}

/// A question for the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Do this for a caller.
    For(Box<Request>),
    /// Will you hand the cell over to this entry, which has so much of a core?
    HandOver {
        /// Its part of a core.
        cpu: MilliCpu,
    },
    /// Append this record for me, with which I give the cell up: the store does not answer me.
    Release(Box<Lease>),
    /// Which life of the process are you, in which data centre? Any entry answers this at once.
    Life,
    /// Does the platform's store answer you? Any entry answers this.
    Outage,
    /// What is newer than this version of the configuration and this end of the lease's log? Any
    /// entry answers this, for one that the platform turns away.
    News {
        /// The newest version that is known.
        version: Version,
        /// The end of the lease's log, as far as it is known.
        end: u64,
    },
    /// Where is this entry to have its news from? Only the owner answers this.
    Place(Seeker),
    /// What is new? It is answered once there is something.
    Feed(feed::Question),
}

impl Request {
    /// Says how much time is left for the answer, where the owner has to know.
    pub fn set_left(&mut self, left: Duration) {
        if let Wish::Submit { within, .. } = &mut self.wish {
            *within = left.as_millis() as u64;
        }
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.wish {
            Wish::Submit { given, .. } => write!(f, "submit {:016x}", given.id),
            Wish::Cancel(id) => write!(f, "cancel {id:016x}"),
            Wish::State(id) => write!(f, "state {id:016x}"),
            Wish::Pending => write!(f, "pending {}", self.queue),
        }
    }
}

impl fmt::Display for Ask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Ask::For(request) => request.fmt(f),
            Ask::HandOver { cpu } => write!(f, "hand over to {cpu}"),
            Ask::Release(lease) => write!(f, "release for {}", lease.node),
            Ask::Life => write!(f, "life"),
            Ask::Outage => write!(f, "outage"),
            Ask::News { version, end } => write!(f, "news since {version} and {end}"),
            Ask::Place(seeker) => write!(f, "place for {}", seeker.address),
            Ask::Feed(question) => write!(f, "news for {}", question.seeker.address),
        }
    }
}

/// What an entry knows that another may not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The configuration, as operators wrote it, if it is newer.
    pub config: Option<Written>,
    /// The lease and the end of its log, if it is newer.
    pub lease: Option<(Lease, u64)>,
    /// The data centres that are to be emptied.
    #[serde(default)]
    pub evacuations: HallDrains,
    /// How many ms ago the entry's configuration was the newest for certain.
    pub age: u64,
}

/// An answer of the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tell {
    /// The job is kept.
    Accepted,
    /// The job is cancelled, or was over.
    Cancelled,
    /// The call was judged by an older configuration than this one; nothing was done.
    Outdated(Version),
    /// The job is not taken, and nothing of it was sent to the log.
    Refused,
    /// The job is not taken: it would be done too late. There may be room for it in so many ms.
    Hopeless(u64),
    /// The job is not taken: it asks for more than its workspace may ever have running.
    TooLarge,
    /// There is no such job.
    Unknown,
    /// The job is this far.
    State(Phase),
    /// So many jobs have not begun.
    Pending(usize),
    /// The entry that was asked owns nothing; nothing was done.
    NotOwner,
    /// This life of the process answers.
    Life(Presence),
    /// The cell is handed over.
    HandedOver,
    /// What is newer.
    News(News),
    /// This is where news come from.
    Place(Source),
    /// This is for a follower.
    Feed(feed::Answer),
    /// Whether the store is silent for an entry, and in which data centre that entry is.
    Outage {
        /// The entry's data centre.
        hall: String,
        /// Whether the store does not answer it.
        silent: bool,
    },
    /// It may have been done, or may not.
    Unsure,
}

/// Answers the questions of other entries.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let failed = |error| warn!(%error, "no connection of an entry could be taken");
    let serve = |stream: TcpStream| {
        // Without this, answers are only slower.
        let _ = stream.set_nodelay(true);
        let node = Rc::clone(&node);
        listen::serve(stream, move |request| answer(Rc::clone(&node), request))
    };
    accept_each(listener, failed, serve).await;
}

/// Answers a question of another entry.
async fn answer(node: Rc<Node>, request: hyper::Request<Incoming>) -> Reply {
    let body = Limited::new(request.into_body(), LONGEST).collect().await;
    let ask = body
        .ok()
        .and_then(|body| rmp_serde::from_slice::<Ask>(&body.to_bytes()).ok());
    let Some(ask) = ask else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let tell = match (ask, node.own()) {
        (Ask::News { version, end }, _) => Tell::News(news(&node, version, end)),
        (Ask::Life, _) => Tell::Life(reach::presence(&node)),
        (Ask::Feed(question), _) => Tell::Feed(feeding::answer(&node, question).await),
        (Ask::Place(seeker), Some(_)) => Tell::Place(feeding::place(&node, seeker)),
        (Ask::Outage, _) => outage::tell(&node).await,
        (Ask::Release(lease), _) => release(&node, *lease).await,
        (Ask::HandOver { cpu }, Some(owner)) => owner.hand_over(cpu),
        (Ask::For(request), Some(owner)) => owner.answer(*request).await,
        (_, None) => Tell::NotOwner,
    };
    let bytes = rmp_serde::to_vec(&tell).expect("plain data has a form in MessagePack");
    Response::new(Full::new(bytes.into()))
}

/// Gives the cell up for an owner that the store turns away, and tells it what the log says now.
async fn release(node: &Node, lease: Lease) -> Tell {
    match release_for(node, lease).await {
        None => Tell::Unsure,
        lease => Tell::News(News {
            lease,
            ..News::default()
        }),
    }
}

/// What this entry knows beyond a version of the configuration and an end of the lease's log.
fn news(node: &Node, version: Version, end: u64) -> News {
    let lease = node
        .lease
        .borrow()
        .clone()
        .map(|lease| (lease, node.lease_end.get()));
    News {
        config: node.in_force.borrow().written_after(version),
        lease: lease.filter(|(_, known)| *known > end),
        evacuations: node.in_force.borrow().evacuations().clone(),
        age: node.freshness.get().age(Instant::now()).as_millis() as u64,
    }
}

/// Asks an entry at an address.
///
/// # Errors
///
/// Tells whether the question may have been taken.
pub async fn ask(
    node: &Node,
    address: &str,
    ask: &Ask,
    deadline: Instant,
) -> Result<Tell, CallError> {
    let body = rmp_serde::to_vec(ask).expect("plain data has a form in MessagePack");
    let call = Call {
        connection: Connection::Kept,
        address,
        method: Method::POST,
        path: PATH,
        headers: &[],
        body: Some(body.into()),
        deadline,
    };
    let answer = node.client.call(call).await?;
    rmp_serde::from_slice(&answer.body).map_err(|error| {
        warn!(%error, address, "an entry's answer cannot be read");
        CallError::Unanswered
    })
}
