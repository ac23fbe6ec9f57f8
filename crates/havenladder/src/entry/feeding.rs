//! Gives entries their places, and tells followers what is new.

use super::{
    feed::{Answer, HOLD, Lacking, News, Question},
    node::Node,
};
use clock::{Instant, timer};
use fleet::{Admission, FollowerInfo, Source};
use serde_bytes::ByteBuf;
use std::time::Duration;

/// Tells an entry where it is to have its news from; only an owner does.
pub fn place(node: &Node, seeker: FollowerInfo) -> Source {
    let mut readers = node.feed.readers.borrow_mut();
    readers.assign(seeker, rand::random::<u32>() as usize, Instant::now())
}

/// Answers a follower once there is news for it, or sends it on.
pub async fn answer(node: &Node, question: Question) -> Answer {
    let began = Instant::now();
    let admission = {
        let mut followers = node.feed.followers.borrow_mut();
        followers.admit(
            question.seeker.clone(),
            rand::random::<u32>() as usize,
            began,
        )
    };
    if let Admission::Redirected(other) = admission {
        return Answer::At(other);
    }
    loop {
        let news = node.feed.news.notified();
        if is_behind(node, &question) {
            break;
        }
        if timer::timeout_at(began + HOLD, news).await.is_err() {
            break;
        }
    }
    tell(node, &question, began.elapsed())
}

/// Whether this entry knows what a follower does not.
fn is_behind(node: &Node, question: &Question) -> bool {
    let Some(end) = node.feed.recent.borrow().end() else {
        // This entry may just have begun, and know more at once.
        return false;
    };
    question.from.is_none_or(|from| end > from) || node.lease_end.get() > question.end
}

/// What a follower is told that was kept waiting for so long.
fn tell(node: &Node, question: &Question, held: Duration) -> Answer {
    let now = Instant::now();
    let recent = node.feed.recent.borrow();
    let (Some(lacking), Some(age)) = (recent.since(question.from), recent.age(now)) else {
        return Answer::Nothing;
    };
    let (records, newest) = match lacking {
        Lacking::Records(records) => (records, None),
        Lacking::Newest(records) => (records, recent.end()),
    };
    let lease = node.lease.borrow().clone();
    let lease = lease.map(|lease| (lease, node.lease_end.get()));
    Answer::News(News {
        records: records
            .iter()
            .map(|record| ByteBuf::from(record.to_vec()))
            .collect(),
        newest,
        lease: lease.filter(|(_, end)| *end > question.end),
        held,
        age,
        heard: node.reach.get().outside_silence(now),
    })
}
