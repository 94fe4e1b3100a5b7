//! Decoding of protocol lines into events. The order in which fields are read determines which error is reported.

use crate::decision::{
    Arrival, AttemptEnded, CellId, ClassId, CounterKey, CustomerId, EndpointStatus, EndpointUpdate, Event,
    LabelId, LoadReport, Micros, Outcome, PlanId, RequestId, TimerId, WatchScope,
};
use crate::site_settings::{set_load_figure, Fields, Result, Site};

/// Bounds on the number of gateways that receive a customer's requests.
const MIN_GATEWAY_COUNT: f64 = 1.0;
const MAX_GATEWAY_COUNT: f64 = 1e6;

/// Decodes the event of a line; `None` for unknown messages and for messages that lead to no event.
pub(super) fn event(fields: &Fields, site: &mut Site, now: Micros) -> Result<Option<Event>> {
    Ok(Some(match fields.message {
        "KNOCK" => Event::RequestArrived(arrival(fields, site, now)?),
        "RING" => Event::TimerFired { timer: TimerId(fields.required_u64("ref")?) },
        "FIRST_BYTE" => Event::StreamStarted { request: request_id(fields)? },
        "TIMED_OUT_CLIENT" => Event::ClientDisconnected { request: request_id(fields)? },
        "PONG" => {
            // The module sends no health checks, so their replies lead to no event. Their fields are still
            // validated.
            site.endpoint_id(fields.required_text("backend")?);
            outcome(fields)?;
            load_report(fields)?;
            return Ok(None);
        }
        "COUNT_RESULT" => Event::CounterReplied {
            key: CounterKey(fields.required_u64("book")?),
            outcome: outcome(fields)?,
            total: fields.f64_or("result_value", 0.0)?,
        },
        "OUTCOME" => Event::AttemptEnded(attempt_ended(fields, site)?),
        _ => return Ok(None),
    }))
}

fn request_id(fields: &Fields) -> Result<RequestId> {
    fields.required_u64("ref").map(RequestId)
}

fn arrival(fields: &Fields, site: &Site, now: Micros) -> Result<Arrival> {
    let class = site.classes.get(fields.required_text("kind")?);
    let class = *class.ok_or_else(|| fields.error("kind", "a known class"))?;
    let plan = site.plans.get(fields.required_text("plan")?);
    let plan = *plan.ok_or_else(|| fields.error("plan", "a known plan"))?;
    let customer = u64::from_str_radix(fields.required_text("user_key")?, 16);
    let customer = customer.map_err(|_| fields.error("user_key", "16 hex digits"))?;
    let default_deadline = now + site.settings.classes[class].deadline;
    let units = fields.f64_or("price_units", 1.0)?;
    if units < 0.0 {
        return Err(fields.error("price_units", "a number of 0 or more"));
    }
    Ok(Arrival {
        id: request_id(fields)?,
        class: ClassId(class),
        plan: PlanId(plan),
        customer: CustomerId(customer),
        gateway_count: fields.f64_or("doors", 1.0)?.clamp(MIN_GATEWAY_COUNT, MAX_GATEWAY_COUNT) as u32,
        first_gateway: 0,
        deadline: fields.optional("drop_dead", "a clock time")?.map_or(default_deadline, Micros),
        units,
        is_retry: fields.bool_or("resent", false)?,
        ..Arrival::default()
    })
}

fn attempt_ended(fields: &Fields, site: &mut Site) -> Result<AttemptEnded> {
    Ok(AttemptEnded {
        request: request_id(fields)?,
        attempt: fields.u64_or("trial", 0)? as usize,
        endpoint: site.endpoint_id(fields.required_text("backend")?),
        outcome: outcome(fields)?,
        elapsed: fields.micros_or("took", 0)?,
        request_finished: fields.bool_or("ended", false)?,
        settled_units: Some(fields.f64_or("settled", 0.0)?).filter(|units| *units > 0.0),
        load: load_report(fields)?,
    })
}

fn outcome(fields: &Fields) -> Result<Outcome> {
    Ok(match fields.required_text("how")? {
        "200" => Outcome::Success,
        "500" => Outcome::ServerError,
        "503" => Outcome::Rejected,
        "504" => Outcome::Timeout,
        "502" => Outcome::ConnectFailed,
        "598" => Outcome::ConnectionReset,
        "499" => Outcome::Cancelled,
        "410" => Outcome::NotSent,
        _ => return Err(fields.error("how", "one of 200 410 499 500 502 503 504 598")),
    })
}

fn load_report(fields: &Fields) -> Result<LoadReport> {
    let mut report = LoadReport::default();
    let pairs = fields.optional_text("report").into_iter().flat_map(|pairs| pairs.split(','));
    for pair in pairs.filter(|pair| !pair.is_empty()) {
        let figure = pair.split_once(':').and_then(|(name, value)| Some((name, value.parse().ok()?)));
        let (name, value) = figure.ok_or_else(|| fields.error("report", "name:number pairs"))?;
        set_load_figure(&mut report, name, value);
    }
    Ok(report)
}

/// Decodes the scope of an endpoint list.
pub(super) fn watch_scope(fields: &Fields) -> Result<WatchScope> {
    match fields.required_text("scope")? {
        "incr" => Ok(WatchScope::Incremental),
        "total" | "warm_copy" => Ok(WatchScope::Complete),
        "lost" => Ok(WatchScope::Failed),
        _ => Err(fields.error("scope", "incr, total, warm_copy or lost")),
    }
}

/// Decodes an entry of an endpoint list.
pub(super) fn endpoint_update(fields: &Fields, site: &mut Site) -> Result<EndpointUpdate> {
    Ok(EndpointUpdate {
        endpoint: site.endpoint_id(fields.required_text("backend")?),
        zone: site.zone(fields.optional_text("rack_zone").unwrap_or("")),
        cell: CellId(fields.u64_or("pod", 0)?),
        status: endpoint_status(fields)?,
        weight: fields.f64_or("heft", 1.0)?,
        started_at: Some(fields.micros_or("last_start", 0)?).filter(|at| at.0 > 0),
        label: LabelId::default(),
    })
}

fn endpoint_status(fields: &Fields) -> Result<EndpointStatus> {
    match fields.required_text("status")? {
        "in_service" => Ok(EndpointStatus::InService),
        "terminating" => Ok(EndpointStatus::Draining),
        "terminated" => Ok(EndpointStatus::Removed),
        _ => Err(fields.error("status", "in_service, terminating or terminated")),
    }
}
