//! A connection on a socket that takes no option of TCP's.

use super::serve_connection;
use crate::decision::Micros;
use crate::proxy::control_plane::config::socket_limits::SocketLimits;
use crate::proxy::downstream::context::{ProxyContext, RequestIds};
use crate::proxy::downstream::idle_connections::IdleConnections;
use crate::proxy::downstream::request_head::RequestRules;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::clock::Clock;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

fn context(lifecycle: Rc<Lifecycle>) -> ProxyContext {
    let (runtime, _) = mpsc::channel(1);
    ProxyContext {
        runtime,
        clock: Clock::start(),
        lifecycle,
        metrics: Rc::default(),
        permits: Rc::new(Permits::new(4)),
        memory: Rc::new(MemoryBudget::new(32.0, SocketLimits { clients: 4, backends: 4, counter: 1 })),
        rules: RequestRules { gateways: 1, max_units: 1.0, ..RequestRules::default() },
        request_ids: RequestIds::default(),
        response_margin: Micros(0),
        cluster: None,
    }
}

#[test]
fn a_client_whose_connection_takes_no_option_is_served() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Such a pair carries bytes as TCP does, but no option of TCP's can be set on it.
        let (ours, theirs) = UnixStream::pair().expect("a pair");
        ours.set_nonblocking(true).expect("an option");
        theirs.set_nonblocking(true).expect("an option");
        let ours = std::net::TcpStream::from(OwnedFd::from(ours));
        let stream = TcpStream::from_std(ours).expect("a stream");
        assert!(stream.set_nodelay(true).is_err(), "else this shows nothing");
        let lifecycle = Rc::new(Lifecycle::default());
        lifecycle.mark_endpoints_known();
        lifecycle.start_serving();
        let idle = Rc::new(IdleConnections::new(lifecycle.clone()));
        tokio::task::spawn_local(serve_connection(stream, Rc::new(context(lifecycle)), idle));
        let mut client = tokio::net::UnixStream::from_std(theirs).expect("a stream");
        client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("taken");
        let mut head = [0; 12];
        client.read_exact(&mut head).await.expect("an answer");
        assert_eq!(&head, b"HTTP/1.1 200");
    });
}
