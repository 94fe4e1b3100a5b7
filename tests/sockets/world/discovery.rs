//! A discovery service: endpoint lists, and watches for changes.

use super::{http, Message, Stub, WAIT_TIMEOUT};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// A long-polling request to discovery for changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Revision of the list that the watcher has.
    pub from: u64,
    /// Time after which discovery responds even without a change.
    pub hold: Duration,
}

impl WatchRequest {
    /// Parses a watch request; returns `None` for a request for the complete list.
    pub fn parse(request: &Message) -> Option<WatchRequest> {
        let query = request.line.split(' ').nth(1)?.split_once('?')?.1;
        let number =
            |name: &str| query.split('&').find_map(|parameter| parameter.strip_prefix(name)?.parse().ok());
        let hold = Duration::from_millis(number("hold_ms=").expect("a hold_ms parameter"));
        Some(WatchRequest { from: number("from=").expect("a from parameter"), hold })
    }
}

/// Discovery whose list is set by the test. A watch is answered once the published revision differs from the watcher's.
#[derive(Clone)]
pub struct Discovery {
    pub stub: Stub,
    published: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    pub fn start(members: &str) -> Discovery {
        let published = Arc::new((Mutex::new((41, endpoint_list(41, true, members))), Condvar::new()));
        let shared = published.clone();
        let stub = Stub::start(move |request| {
            let Some(watch) = WatchRequest::parse(request) else {
                return http("200 OK", &shared.0.lock().expect("the mutex is not poisoned").1);
            };
            let published = shared.0.lock().expect("the mutex is not poisoned");
            let waiting = shared.1.wait_timeout_while(published, watch.hold, |n| n.0 == watch.from);
            let (published, timeout) = waiting.expect("the mutex is not poisoned");
            match timeout.timed_out() {
                true => http("200 OK", &endpoint_list(watch.from, false, "")),
                false => http("200 OK", &published.1),
            }
        });
        Discovery { stub, published }
    }
    /// Publishes `text` as the response to the next watch; `revision` is the revision that the watcher then has.
    pub fn publish(&self, revision: u64, text: &str) {
        *self.published.0.lock().expect("the mutex is not poisoned") = (revision, text.to_string());
        self.published.1.notify_all();
    }
    /// Publishes a list and waits until the gateway watches from its revision, which means that the list was applied.
    pub fn publish_and_wait(&self, revision: u64, complete: bool, members: &str) {
        self.publish(revision, &endpoint_list(revision, complete, members));
        self.wait_for_watch(revision);
    }
    pub fn wait_for_watch(&self, revision: u64) {
        let from = format!("from={revision}&");
        self.stub.wait_for("a watch from the published revision", |log| {
            log.requests.iter().any(|r| r.line.contains(&from))
        });
    }
}

pub fn endpoint_list(revision: u64, complete: bool, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}
pub fn backend_entry(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}
