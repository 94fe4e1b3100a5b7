//! Strategies for random plans: faults and client requests, each after a delay.

use crate::simulation::{RECORDS, SEATS};
use proptest::prelude::*;

/// A fault of a gateway or of the network.
#[derive(Debug, Clone)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize, bool),
    Cut(usize, usize),
    /// Blocks all datagrams from this gateway (first flag), to it (second flag), or both.
    Isolate(usize, bool, bool),
    Heal,
    /// Loss and duplication in percent, and the longest delay in milliseconds.
    Network(u8, u8, u16),
}

pub fn fault() -> impl Strategy<Value = Fault> {
    let seat = 0..SEATS;
    prop_oneof![
        3 => seat.clone().prop_map(Fault::Kill),
        3 => seat.clone().prop_map(Fault::Start),
        3 => (seat.clone(), any::<bool>()).prop_map(|(seat, paused)| Fault::Pause(seat, paused)),
        2 => (seat.clone(), seat.clone()).prop_map(|(seat, other)| Fault::Cut(seat, other)),
        5 => (seat, any::<bool>(), any::<bool>())
            .prop_map(|(seat, outbound, inbound)| Fault::Isolate(seat, outbound, inbound)),
        2 => Just(Fault::Heal),
        2 => (0..40u8, 0..30u8, 0..400u16)
            .prop_map(|(loss, duplication, delay_ms)| Fault::Network(loss, duplication, delay_ms)),
    ]
}

/// A client's request for a record at a gateway: the delay before its write is sent, the time that the write takes,
/// and whether it ends with a response.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub after: u16,
    pub seat: usize,
    pub record: u64,
    pub delay_ms: u16,
    pub work_ms: u16,
    pub sends_response: bool,
}

pub fn client_request() -> impl Strategy<Value = ClientRequest> {
    (0..120u16, 0..SEATS, 0..RECORDS, 0..60u16, 0..900u16, any::<bool>()).prop_map(
        |(after, seat, record, delay_ms, work_ms, sends_response)| ClientRequest {
            after,
            seat,
            record,
            delay_ms,
            work_ms,
            sends_response,
        },
    )
}

/// Requests and faults, each with the delay before it in milliseconds.
pub type Steps = Vec<(u16, Result<ClientRequest, Fault>)>;

pub fn plan() -> impl Strategy<Value = (u64, Steps)> {
    let step = prop_oneof![
        5 => client_request().prop_map(|request| (request.after, Ok(request))),
        1 => (0..700u16, fault()).prop_map(|(after, fault)| (after, Err(fault))),
    ];
    (any::<u64>(), prop::collection::vec(step, 5..90))
}
