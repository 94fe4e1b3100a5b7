//! The operators' address: whether this process is ready, its figures, maintenance of backends and the drain of
//! the gateway. It has connections of its own, so that neither clients nor callers that say nothing can keep
//! an operator waiting.

pub mod metrics;
pub mod rollout_calls;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::control_plane::config::socket_limits::MAX_OPERATOR_CONNECTIONS;
use crate::proxy::downstream::accept::AcceptBackoff;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::runtime::messages::{AdminCommand, AdminSender};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::Metrics;
use rollout_calls::{KnownNames, Said};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::{debug, info};

/// The most callers at once; one more ends the one that has waited longest.
const CALLERS: usize = MAX_OPERATOR_CONNECTIONS;
/// A call must have come within this, and its answer be written within twice as long.
const CALL_TIME: Duration = Duration::from_millis(800);
/// How long the driver may take over a call; answers are due within 1 s.
const ORDER_TIME: Duration = Duration::from_millis(700);
/// The longest head of a call.
const MAX_HEAD: usize = 8 * 1024;

/// What the calls need.
pub struct AdminContext {
    /// The way to the driver that waits behind no request.
    pub orders: AdminSender,
    /// The counters.
    pub figures: Rc<Metrics>,
    /// Whether the gateway serves, drains or ends.
    pub duty: Rc<Lifecycle>,
    /// The fleet, where the gateway has one.
    pub peers: Option<Rc<ClusterTransport>>,
    /// The names that rules of routing may use.
    pub names: KnownNames,
}

/// Answers operators for ever.
pub async fn serve(listener: TcpListener, desk: Rc<AdminContext>) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::with_capacity(CALLERS);
    let mut accepting = AcceptBackoff::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                accepting.failed(&error).await;
                continue;
            }
        };
        accepting.succeeded();
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS {
            callers.pop_front().into_iter().for_each(|longest| longest.abort());
        }
        callers.push_back(tokio::task::spawn_local(call(stream, desk.clone())).abort_handle());
    }
}

async fn call(stream: TcpStream, desk: Rc<AdminContext>) {
    let service = service_fn(|request| {
        let desk = desk.clone();
        async move { Ok::<_, Infallible>(answer(request, &desk).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(CALL_TIME)
        .max_buf_size(MAX_HEAD)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(CALL_TIME * 2, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "an operator's call ended"),
        Err(_) => debug!("an operator's call took too long"),
    }
}

async fn answer(request: Request<Incoming>, desk: &AdminContext) -> Response<Full<Bytes>> {
    let whole = request.uri().path().to_string();
    let path: Vec<&str> = whole.split('/').skip(1).collect();
    let reading = matches!(*request.method(), Method::GET | Method::HEAD);
    let posting = *request.method() == Method::POST;
    match path.as_slice() {
        ["healthcheck"] if reading => match desk.duty.is_ready() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        ["stats"] if reading => match ask(desk, AdminCommand::CountEndpoints).await {
            Some(fleet) => {
                let gauges = desk.peers.as_ref().map(|peers| peers.gauges()).unwrap_or_default();
                text(StatusCode::OK, desk.figures.text(fleet) + &gauges)
            }
            None => late(),
        },
        ["fleet"] if reading && desk.peers.is_some() => {
            match desk.peers.as_ref().and_then(|peers| peers.report()) {
                Some(report) => json(report),
                None => plain(StatusCode::SERVICE_UNAVAILABLE, "not in the fleet now\n"),
            }
        }
        ["fleet"] if desk.peers.is_some() => not_allowed("GET, HEAD"),
        ["rollout", ..] => match desk.peers.as_ref().filter(|peers| peers.keeps_rules()) {
            Some(peers) => {
                let order = path.get(1..).unwrap_or_default().join("/");
                rolled(peers, desk, reading, posting, &order, request.into_body()).await
            }
            None => plain(StatusCode::NOT_FOUND, "no such call\n"),
        },
        ["backends", id, order @ ("maint" | "ready")] if posting => {
            let (id, out) = (id.to_string(), *order == "maint");
            info!(id, order, "an operator's order");
            match ask(desk, |done| AdminCommand::SetMaintenance {
                endpoint: id,
                in_maintenance: out,
                relayed: false,
                reply: done,
            })
            .await
            {
                Some(true) => plain(StatusCode::OK, "done\n"),
                Some(false) => plain(StatusCode::NOT_FOUND, "no such backend\n"),
                None => late(),
            }
        }
        ["healthcheck", order @ ("fail" | "ok")] if posting => {
            info!(order, "an operator's order");
            desk.duty.set_draining(*order == "fail");
            plain(StatusCode::OK, "done\n")
        }
        ["healthcheck" | "stats"] => not_allowed("GET, HEAD"),
        ["backends", _, "maint" | "ready"] | ["healthcheck", "fail" | "ok"] => not_allowed("POST"),
        _ => plain(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

/// A call for a rollout of rules.
async fn rolled(
    peers: &Rc<ClusterTransport>,
    desk: &AdminContext,
    reading: bool,
    posting: bool,
    order: &str,
    body: Incoming,
) -> Response<Full<Bytes>> {
    let say = |(status, words): Said| text(status, words);
    match order {
        "" if reading => match peers.rollout() {
            Some(report) => json(report),
            None => plain(StatusCode::NOT_FOUND, "no rollout yet\n"),
        },
        "" if posting => {
            let said = rollout_calls::start(peers, &desk.names, body).await;
            info!(status = said.0.as_u16(), said = said.1.trim_end(), "an operator's rollout");
            say(said)
        }
        "pause" | "resume" | "abort" if posting => {
            info!(order, "an operator's order on the rollout");
            say(rollout_calls::answer(peers.order_rollout(order)))
        }
        "" => not_allowed("GET, HEAD, POST"),
        "pause" | "resume" | "abort" => not_allowed("POST"),
        _ => plain(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

/// Asks the driver, who answers between two turns.
async fn ask<T>(desk: &AdminContext, order: impl FnOnce(oneshot::Sender<T>) -> AdminCommand) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    let asking = async {
        desk.orders.send(order(reply)).await.ok()?;
        answer.await.ok()
    };
    timeout(ORDER_TIME, asking).await.ok().flatten()
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn json(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn plain(status: StatusCode, words: &'static str) -> Response<Full<Bytes>> {
    text(status, words)
}

fn late() -> Response<Full<Bytes>> {
    plain(StatusCode::SERVICE_UNAVAILABLE, "no answer in time\n")
}

fn not_allowed(methods: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "not this call's method\n");
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(methods));
    response
}
