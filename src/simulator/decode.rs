//! Lines of the wire as events. The order in which values are read decides which error is named.

use crate::decision::{
    Arrival, AttemptEnded, CellId, ClassId, CounterKey, CustomerId, EndpointStatus, EndpointUpdate, Event,
    LabelId, LoadReport, Micros, Outcome, PlanId, RequestId, TimerId, WatchScope,
};
use crate::site_settings::{set_load_figure, Fields, Result, Site};

/// Bounds on the number of gateways through which a customer comes.
const LEAST_SPREAD: f64 = 1.0;
const GREATEST_SPREAD: f64 = 1e6;

/// The event of a line; `None` for lines that are none, or lead to none.
pub(super) fn event(fields: &Fields, site: &mut Site, now: Micros) -> Result<Option<Event>> {
    Ok(Some(match fields.message {
        "KNOCK" => Event::RequestArrived(arrival(fields, site, now)?),
        "RING" => Event::TimerFired { timer: TimerId(fields.whole("ref")?) },
        "FIRST_BYTE" => Event::StreamStarted { request: request_id(fields)? },
        "TIMED_OUT_CLIENT" => Event::ClientDisconnected { request: request_id(fields)? },
        "PONG" => {
            // The module sends no health check, so this answers none; the line must make sense all the same.
            site.endpoint_id(fields.text("backend")?);
            outcome(fields)?;
            load_report(fields)?;
            return Ok(None);
        }
        "COUNT_RESULT" => Event::CounterReplied {
            key: CounterKey(fields.whole("book")?),
            outcome: outcome(fields)?,
            total: fields.real_or("result_value", 0.0)?,
        },
        "OUTCOME" => Event::AttemptEnded(attempt_ended(fields, site)?),
        _ => return Ok(None),
    }))
}

fn request_id(fields: &Fields) -> Result<RequestId> {
    fields.whole("ref").map(RequestId)
}

fn arrival(fields: &Fields, site: &Site, now: Micros) -> Result<Arrival> {
    let class = site.classes.get(fields.text("kind")?);
    let class = *class.ok_or_else(|| fields.error("kind", "a known class"))?;
    let plan = site.plans.get(fields.text("plan")?);
    let plan = *plan.ok_or_else(|| fields.error("plan", "a known plan"))?;
    let customer = u64::from_str_radix(fields.text("user_key")?, 16);
    let customer = customer.map_err(|_| fields.error("user_key", "16 hex digits"))?;
    let latest = now + site.settings.classes[class].deadline;
    let units = fields.real_or("price_units", 1.0)?;
    if units < 0.0 {
        return Err(fields.error("price_units", "a number of 0 or more"));
    }
    Ok(Arrival {
        id: request_id(fields)?,
        class: ClassId(class),
        plan: PlanId(plan),
        customer: CustomerId(customer),
        spread: fields.real_or("doors", 1.0)?.clamp(LEAST_SPREAD, GREATEST_SPREAD) as u32,
        first_gateway: 0,
        deadline: fields.read("drop_dead", "a clock time")?.map_or(latest, Micros),
        units,
        is_retry: fields.flag_or("resent", false)?,
        ..Arrival::default()
    })
}

fn attempt_ended(fields: &Fields, site: &mut Site) -> Result<AttemptEnded> {
    Ok(AttemptEnded {
        request: request_id(fields)?,
        attempt: fields.whole_or("trial", 0)? as usize,
        endpoint: site.endpoint_id(fields.text("backend")?),
        outcome: outcome(fields)?,
        elapsed: fields.micros_or("took", 0)?,
        request_finished: fields.flag_or("ended", false)?,
        settled_units: Some(fields.real_or("settled", 0.0)?).filter(|units| *units > 0.0),
        load: load_report(fields)?,
    })
}

fn outcome(fields: &Fields) -> Result<Outcome> {
    Ok(match fields.text("how")? {
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

/// What a list holds.
pub(super) fn watch_scope(fields: &Fields) -> Result<WatchScope> {
    match fields.text("scope")? {
        "incr" => Ok(WatchScope::Incremental),
        "total" | "warm_copy" => Ok(WatchScope::Complete),
        "lost" => Ok(WatchScope::Failed),
        _ => Err(fields.error("scope", "incr, total, warm_copy or lost")),
    }
}

/// An entry of a list.
pub(super) fn endpoint_update(fields: &Fields, site: &mut Site) -> Result<EndpointUpdate> {
    Ok(EndpointUpdate {
        endpoint: site.endpoint_id(fields.text("backend")?),
        zone: site.zone(fields.optional_text("rack_zone").unwrap_or("")),
        cell: CellId(fields.whole_or("pod", 0)?),
        status: endpoint_status(fields)?,
        weight: fields.real_or("heft", 1.0)?,
        started_at: Some(fields.micros_or("last_start", 0)?).filter(|at| at.0 > 0),
        label: LabelId::default(),
    })
}

fn endpoint_status(fields: &Fields) -> Result<EndpointStatus> {
    match fields.text("status")? {
        "in_service" => Ok(EndpointStatus::InService),
        "terminating" => Ok(EndpointStatus::Draining),
        "terminated" => Ok(EndpointStatus::Removed),
        _ => Err(fields.error("status", "in_service, terminating or terminated")),
    }
}
