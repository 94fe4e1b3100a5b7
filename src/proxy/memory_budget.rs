//! Division of the machine's memory between connections, messages, and the program itself.
//!
//! Each connection has its share by being admitted, and each message reserves its bytes before it is kept. The sum of all
//! shares and the program's own state stay below the limit; `docs/limits.md` derives it.

use crate::proxy::control_plane::config::socket_limits::SocketLimits;
use crate::proxy::lifecycle::permits::Permits;
use std::cell::Cell;
use std::rc::Rc;
use strum::{IntoStaticStr, VariantArray};
use tokio::sync::OwnedSemaphorePermit;

/// The program and its state, with an endpoint list of 3,200 entries, in bytes.
const PROGRAM_BYTES: f64 = 8e6;
/// The part of the machine's memory that is divided even if the program leaves less.
const MIN_DIVIDED_FRACTION: f64 = 0.25;
/// Fraction of the divided memory that is in use at a time; the allocator holds the rest in free blocks.
const USABLE_FRACTION: f64 = 0.6;
/// Fraction of the machine's memory for the state of customers, a part of the program's own.
const CUSTOMERS_FRACTION: f64 = 0.04;
/// State of a customer, in bytes.
const CUSTOMER_BYTES: f64 = 600.0;
/// Fraction of the usable memory for connections of clients.
const CLIENTS_FRACTION: f64 = 0.36;
/// Fraction of the usable memory for connections to backends.
const BACKENDS_FRACTION: f64 = 0.22;
/// Fraction of the usable memory for messages.
const MESSAGES_FRACTION: f64 = 0.42;
/// State of a client connection without its buffer, in bytes.
const CLIENT_STATE_BYTES: usize = 4 * 1024;
/// State of a connection to a backend and of its attempt without buffers, in bytes.
const BACKEND_STATE_BYTES: usize = 4 * 1024;
/// Buffers of a transfer over a connection to a backend: one being read, one in transit, one to be written.
const BUFFERS_PER_BACKEND: usize = 3;
/// Smallest buffer of a connection, in bytes: the minimum that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest buffer of a connection, in bytes: the longest head that may be received.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Bytes of messages that one permit accounts for.
const PERMIT_BYTES: usize = 1024;
/// One part in this many of the messages' memory is kept from requests whose body is still arriving.
const KEPT_FROM_UPLOADS_DIVISOR: usize = 4;
/// One in this many of the connections to backends is kept from long transfers: streamed bodies of requests and responses,
/// which a slow peer may hold for long.
const KEPT_FROM_TRANSFERS_DIVISOR: usize = 4;
/// One in this many of the connections of clients is kept from requests whose body is still arriving.
const KEPT_FROM_SLOW_BODIES_DIVISOR: usize = 2;
/// Transfers, or bodies that hold connections, count as scarce when fewer than one in this many may start.
const SCARCE_DIVISOR: usize = 8;

/// What memory is reserved for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum MemoryOwner {
    /// A request, from its head to the end of its last attempt.
    #[strum(serialize = "request")]
    Request,
    /// A request whose body is still arriving when it is reserved for.
    #[strum(serialize = "upload")]
    Upload,
    /// A buffered response.
    #[strum(serialize = "response")]
    Response,
}

/// Reserved bytes of one owner, and how often there were not enough.
#[derive(Debug, Default)]
struct Usage {
    reserved_bytes: Cell<usize>,
    refusals: Cell<u64>,
}

/// Reserved bytes and refusals of an owner.
#[derive(Debug, Clone, Copy)]
pub struct MemoryUsage {
    /// Owner of the memory.
    pub owner: MemoryOwner,
    /// Bytes that are reserved at present.
    pub reserved_bytes: usize,
    /// Reservations that were refused.
    pub refusals: u64,
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    _permit: OwnedSemaphorePermit,
    bytes: usize,
    usage: Rc<Usage>,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.usage.reserved_bytes.set(self.usage.reserved_bytes.get().saturating_sub(self.bytes));
    }
}

/// Memory for connections and messages.
pub struct MemoryBudget {
    sockets: SocketLimits,
    customers: usize,
    buffer_bytes: usize,
    messages: Permits,
    /// Bodies that may be streamed at a time, in both directions.
    transfers: Permits,
    /// Requests whose body may be arriving at a time.
    slow_bodies: Permits,
    usage: [Rc<Usage>; MemoryOwner::VARIANTS.len()],
}

impl MemoryBudget {
    /// Returns the budget of a machine with this much memory, in millions of bytes, which `processes` processes of this
    /// gateway share, and at most these numbers of connections.
    pub fn new(megabytes: f64, processes: usize, sockets: SocketLimits) -> MemoryBudget {
        let bytes = megabytes.clamp(1.0, 1e6) * 1e6;
        let divided = (bytes - PROGRAM_BYTES * processes as f64).max(bytes * MIN_DIVIDED_FRACTION);
        let usable = divided * USABLE_FRACTION;
        let clients = affordable(usable * CLIENTS_FRACTION, client_bytes(MIN_BUFFER_BYTES), sockets.clients);
        let backends =
            affordable(usable * BACKENDS_FRACTION, backend_bytes(MIN_BUFFER_BYTES), sockets.backends);
        let for_client = (usable * CLIENTS_FRACTION) as usize / clients - CLIENT_STATE_BYTES;
        let for_backend = (usable * BACKENDS_FRACTION) as usize / backends - BACKEND_STATE_BYTES;
        let buffer_bytes = for_client.min(for_backend / BUFFERS_PER_BACKEND);
        MemoryBudget {
            sockets: SocketLimits { clients, backends, ..sockets },
            customers: (bytes * CUSTOMERS_FRACTION / CUSTOMER_BYTES) as usize,
            buffer_bytes: buffer_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES),
            messages: Permits::new((usable * MESSAGES_FRACTION) as usize / PERMIT_BYTES),
            transfers: Permits::new((backends - backends / KEPT_FROM_TRANSFERS_DIVISOR).max(1)),
            slow_bodies: Permits::new((clients - clients / KEPT_FROM_SLOW_BODIES_DIVISOR).max(1)),
            usage: Default::default(),
        }
    }

    /// Returns the numbers of connections that the memory allows.
    pub fn sockets(&self) -> SocketLimits {
        self.sockets
    }

    /// Returns the number of customers whose state is kept.
    pub fn customers(&self) -> usize {
        self.customers
    }

    /// Returns the largest size of a connection's buffer, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Reserves memory for a message of this many bytes. Returns `None` if there is not enough left.
    pub fn reserve(&self, owner: MemoryOwner, bytes: usize) -> Option<MemoryReservation> {
        let usage = self.usage_of(owner);
        let permits = bytes.div_ceil(PERMIT_BYTES);
        let kept = match owner {
            MemoryOwner::Upload => self.messages.total() / KEPT_FROM_UPLOADS_DIVISOR,
            MemoryOwner::Request | MemoryOwner::Response => 0,
        };
        let permit = match permits + kept <= self.messages.available() {
            true => self.messages.try_acquire_many(permits),
            false => None,
        };
        let Some(permit) = permit else {
            self.count_refusal(owner);
            return None;
        };
        usage.reserved_bytes.set(usage.reserved_bytes.get() + bytes);
        Some(MemoryReservation { _permit: permit, bytes, usage: usage.clone() })
    }

    /// Reserves the buffers of a streamed body. Returns `None` if as many are streamed as may be.
    pub fn reserve_transfer(&self) -> Option<OwnedSemaphorePermit> {
        self.transfers.try_acquire()
    }

    /// Reserves the connection of a request whose body is still arriving. Returns `None` if as many hold connections as may.
    pub fn reserve_slow_body(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.slow_bodies.try_acquire();
        if permit.is_none() {
            self.count_refusal(MemoryOwner::Upload);
        }
        permit
    }

    /// Returns how many transfers have to end until enough more bodies may be streamed; 0 while that is the case.
    pub fn transfers_until_not_scarce(&self) -> usize {
        self.transfers.total().div_ceil(SCARCE_DIVISOR).saturating_sub(self.transfers.available())
    }

    /// Returns whether few more bodies may hold connections.
    pub fn slow_bodies_are_scarce(&self) -> bool {
        self.slow_bodies.available() * SCARCE_DIVISOR < self.slow_bodies.total()
    }

    /// Returns reserved bytes and refusals by owner.
    pub fn usage(&self) -> impl Iterator<Item = MemoryUsage> + '_ {
        MemoryOwner::VARIANTS.iter().map(|owner| {
            let usage = self.usage_of(*owner);
            let (reserved_bytes, refusals) = (usage.reserved_bytes.get(), usage.refusals.get());
            MemoryUsage { owner: *owner, reserved_bytes, refusals }
        })
    }

    /// Returns the memory of this many client connections and of all messages at present, in bytes.
    pub fn bytes_in_use(&self, client_connections: usize) -> usize {
        let messages: usize = self.usage.iter().map(|usage| usage.reserved_bytes.get()).sum();
        let transfers = self.transfers.in_use() * backend_bytes(self.buffer_bytes);
        messages + transfers + client_connections * client_bytes(self.buffer_bytes)
    }

    /// Reserves this many quarters of the message memory for the other process of this gateway.
    pub fn reserve_for_other_process(&self, quarters: usize) {
        self.messages.reserve_for_other_process(self.messages.total() * quarters / 4);
        self.transfers.reserve_for_other_process(self.transfers.total() * quarters / 4);
        self.slow_bodies.reserve_for_other_process(self.slow_bodies.total() * quarters / 4);
    }

    fn count_refusal(&self, owner: MemoryOwner) {
        let usage = self.usage_of(owner);
        usage.refusals.set(usage.refusals.get() + 1);
    }

    fn usage_of(&self, owner: MemoryOwner) -> &Rc<Usage> {
        let [request, upload, response] = &self.usage;
        match owner {
            MemoryOwner::Request => request,
            MemoryOwner::Upload => upload,
            MemoryOwner::Response => response,
        }
    }
}

/// Memory of a client connection without a request, in bytes.
fn client_bytes(buffer_bytes: usize) -> usize {
    CLIENT_STATE_BYTES + buffer_bytes
}

/// Memory of a connection to a backend with a transfer over it, in bytes.
fn backend_bytes(buffer_bytes: usize) -> usize {
    BACKEND_STATE_BYTES + BUFFERS_PER_BACKEND * buffer_bytes
}

/// Returns how many connections of this size there may be, between one and `limit`.
fn affordable(bytes: f64, connection_bytes: usize, limit: usize) -> usize {
    (bytes as usize / connection_bytes).clamp(1, limit.max(1))
}
