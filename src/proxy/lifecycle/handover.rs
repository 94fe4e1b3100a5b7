//! The replacement of the process under load. The elder, which serves, waits at a socket in `$TMPDIR`; the
//! younger connects there when it is about to serve, and both form one gateway until the elder's end.
//!
//! Lines of JSON go both ways over that one connection. Nothing here keeps a process from serving: a peer that
//! is dead, silent or garbled costs a moment, and then the process goes on alone.

use crate::decision::HandoverState;
use crate::proxy::control_plane::discovery::{EndpointList, MAX_ENDPOINTS};
use crate::proxy::downstream::accept::AcceptBackoff;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::runtime::{AdminCommand, AdminSender};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, timeout};
use tracing::{info, warn};

/// The longest wait for any one step of the peer's: for its next bytes, or for it to take some.
const STEP_TIME: Duration = Duration::from_millis(500);
/// The longest wait for the first bytes of what the elder leaves, which it has to put together with what it has of a core.
const WILL_TIME: Duration = Duration::from_secs(3);
/// The longest wait for a whole line, however long: as long as a process may take until it is ready.
const LINE_TIME: Duration = Duration::from_secs(10);
/// The most bytes of a backend and of a customer in what a process leaves.
const LONGEST_BACKEND: usize = 1200;
const LONGEST_CUSTOMER: usize = 800;
/// Customers of a gateway within the two minutes in which it remembers them, at 250 new ones a second.
const MOST_CUSTOMERS: usize = 30_000;
/// The longest line, in bytes: 31.7 MB, all that a gateway of the largest fleet can leave. Read as it comes, so that no more
/// memory is taken than the line has.
const LONGEST: usize = 2 * MAX_ENDPOINTS * LONGEST_BACKEND + MOST_CUSTOMERS * LONGEST_CUSTOMER;
/// Bytes that are written in one step.
const PIECE: usize = 64 * 1024;
/// How often the elder tells what it still holds.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// Words that may wait to be written to the peer.
pub const WORDS: usize = 64;

/// What the elder leaves.
#[derive(Serialize, Deserialize)]
pub struct Will {
    /// The list of backends as it last had it.
    #[serde(rename = "members")]
    pub endpoints: EndpointList,
    /// What the module must know.
    pub estate: HandoverState,
}

/// What the two processes tell each other.
#[derive(Serialize, Deserialize)]
pub enum Word {
    /// The younger's first: it is about to serve.
    Hello,
    /// The elder's answer. From here on it takes no new connections.
    Will(Box<Will>),
    /// The elder: so many connections of clients it still holds.
    Held(usize),
    /// An operator's order to the other process.
    Maintain {
        /// The backend.
        id: String,
        /// Out, or back.
        out: bool,
    },
}

/// The ends of the connection.
struct Line {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// What has come of the next line.
    begun: Vec<u8>,
}

impl Line {
    fn new(stream: UnixStream) -> Line {
        let (reader, writer) = stream.into_split();
        Line { reader: BufReader::new(reader), writer, begun: Vec::new() }
    }

    /// The next word; none once the peer is gone or makes no sense. May be called off and called again.
    async fn hear(&mut self) -> Option<Word> {
        while !self.hear_piece().await? {}
        self.whole_line()
    }

    /// The same where the peer is to begin within this time and then not to stop for longer than a step may take.
    async fn hear_within(&mut self, first: Duration) -> Option<Word> {
        let line = async {
            let mut limit = first;
            while !timeout(limit, self.hear_piece()).await.ok()?? {
                limit = STEP_TIME;
            }
            self.whole_line()
        };
        timeout(LINE_TIME, line).await.ok()?
    }

    /// Reads what has come of the next line; whether that is all of it.
    async fn hear_piece(&mut self) -> Option<bool> {
        let come = self.reader.fill_buf().await.ok().filter(|come| !come.is_empty())?;
        let end = come.iter().position(|byte| *byte == b'\n');
        let length = end.map_or(come.len(), |end| end + 1);
        self.begun.extend_from_slice(&come[..length]);
        self.reader.consume(length);
        if self.begun.len() > LONGEST {
            warn!(bytes = self.begun.len(), limit = LONGEST, "the other process's word is too long");
            return None;
        }
        Some(end.is_some())
    }

    fn whole_line(&mut self) -> Option<Word> {
        let line = std::mem::take(&mut self.begun);
        let word = serde_json::from_slice(&line);
        word.inspect_err(|error| warn!(%error, bytes = line.len(), "the other process's word makes no sense"))
            .ok()
    }

    async fn tell(&mut self, word: &Word) -> Option<()> {
        let mut text = serde_json::to_vec(word).ok()?;
        text.push(b'\n');
        for piece in text.chunks(PIECE) {
            timeout(STEP_TIME, self.writer.write_all(piece)).await.ok()?.ok()?;
        }
        Some(())
    }
}

/// One process's part in a replacement.
pub struct Succession {
    path: PathBuf,
    /// The way to the driver.
    orders: AdminSender,
    duty: Rc<Lifecycle>,
    /// How many connections of clients this process holds.
    held: Rc<dyn Fn() -> usize>,
    /// How many the other holds, on which this one must not count.
    elsewhere: watch::Sender<usize>,
}

impl Succession {
    /// For the gateway whose clients come to this address; others have their sockets in the folder as well.
    pub fn new(
        folder: PathBuf,
        address: SocketAddr,
        orders: AdminSender,
        duty: Rc<Lifecycle>,
        held: Rc<dyn Fn() -> usize>,
        elsewhere: watch::Sender<usize>,
    ) -> Succession {
        let path = folder.join(format!("starlinghill-{address}.sock"));
        Succession { path, orders, duty, held, elsewhere }
    }

    /// Takes over from the process that serves, if there is one. Returns once this one may serve.
    pub async fn inherit(self: &Rc<Succession>) {
        let Ok(Ok(stream)) = timeout(STEP_TIME, UnixStream::connect(&self.path)).await else { return };
        let mut line = Line::new(stream);
        if line.tell(&Word::Hello).await.is_none() {
            return;
        }
        let Some(Word::Will(will)) = line.hear_within(WILL_TIME).await else {
            warn!("the process before this one tells nothing that makes sense; starting as after a crash");
            return;
        };
        let (words, outgoing) = mpsc::channel(WORDS);
        if self
            .order(|done| AdminCommand::TakeOver { snapshot: will, messages: words, reply: done })
            .await
            .is_none()
        {
            return;
        }
        info!("taking over from the process before");
        let younger = self.clone();
        tokio::task::spawn_local(async move {
            younger.converse(line, outgoing).await;
            info!("the process before has ended");
            younger.elsewhere.send_replace(0);
            younger.order(AdminCommand::PeerProcessExited).await;
        });
    }

    async fn order<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> AdminCommand) -> Option<T> {
        let (done, answer) = oneshot::channel();
        self.orders.send(order(done)).await.ok()?;
        answer.await.ok()
    }

    /// Binds the socket under another name first, so that it takes the place of a stale one, or of the other
    /// process's, in one step.
    fn publish(&self) -> io::Result<UnixListener> {
        let new = self.path.with_extension(format!("{}", std::process::id()));
        match std::fs::remove_file(&new) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = UnixListener::bind(&new)?;
        std::fs::rename(&new, &self.path)?;
        Ok(listener)
    }

    /// Waits for a process that takes over from this one, for ever.
    pub async fn bequeath(self: Rc<Succession>) {
        loop {
            let listener = match self.publish() {
                Ok(listener) => listener,
                Err(error) => return warn!(%error, path = %self.path.display(), "no process can take over"),
            };
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
                // One at a time: who asks meanwhile waits, and gives up in time.
                let mut line = Line::new(stream);
                if !matches!(line.hear_within(STEP_TIME).await, Some(Word::Hello)) {
                    continue;
                }
                if self.hand_over(line).await {
                    // The other's socket stands in the place of this one's.
                    break;
                }
            }
        }
    }

    /// Hands the gateway over and returns when the other process is gone: whether it had begun.
    async fn hand_over(&self, mut line: Line) -> bool {
        let (words, outgoing) = mpsc::channel(WORDS);
        self.duty.set_replaced(true);
        let will = self.order(|done| AdminCommand::HandOver { messages: words, reply: done }).await;
        let told = match will {
            Some(will) => line.tell(&Word::Will(will)).await,
            None => None,
        };
        if told.is_some() {
            info!("another process takes over");
            self.converse(line, outgoing).await;
            warn!("the process that took over is gone; serving again");
        }
        self.order(AdminCommand::PeerProcessExited).await;
        self.duty.set_replaced(false);
        told.is_some()
    }

    /// Passes words on, both ways, until the other process is gone.
    async fn converse(&self, mut line: Line, mut outgoing: mpsc::Receiver<Word>) {
        let mut tell = interval(TELL_EVERY);
        loop {
            let word = tokio::select! {
                heard = line.hear() => {
                    match heard {
                        Some(Word::Held(held)) => drop(self.elsewhere.send_replace(held)),
                        Some(Word::Maintain { id, out }) => {
                            self.order(|done| AdminCommand::SetMaintenance { endpoint: id, in_maintenance: out, relayed: true, reply: done }).await;
                        }
                        Some(Word::Hello | Word::Will(_)) | None => return,
                    }
                    continue;
                }
                Some(word) = outgoing.recv() => word,
                _ = tell.tick(), if self.duty.is_replaced() => Word::Held((self.held)()),
            };
            if line.tell(&word).await.is_none() {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
