//! One gateway of a simulated cluster.

use super::{decode, encode};
use crate::decision::{Action, EndpointUpdate, Event, Gateway, Micros};
use crate::site_settings::{FieldError, Fields, Result, Site};

/// A gateway, and the names that the simulator's protocol uses for its classes, plans, zones and endpoints.
pub(super) struct Instance {
    gateway: Gateway,
    site: Site,
    /// Buffer that is reused for the actions of each event.
    actions: Vec<Action>,
}

impl Instance {
    /// Starts a gateway with the settings of a START line.
    pub(super) fn start(fields: &Fields) -> Result<Instance> {
        let seed = fields.required_u64("rng_seed")?;
        let site = Site::read(fields)?;
        let gateway = Gateway::new(seed, site.settings.clone())
            .map_err(|error| FieldError::Settings { location: fields.location.clone(), error })?;
        Ok(Instance { gateway, site, actions: Vec::new() })
    }

    /// Decodes an entry of an endpoint list.
    pub(super) fn read_entry(&mut self, fields: &Fields) -> Result<EndpointUpdate> {
        decode::endpoint_update(fields, &mut self.site)
    }

    /// Decodes a line as an event of this gateway; `None` if it leads to no event.
    pub(super) fn read_event(&mut self, fields: &Fields, now: Micros) -> Result<Option<Event>> {
        decode::event(fields, &mut self.site, now)
    }

    /// Handles an event and appends the gateway's actions to the reply.
    pub(super) fn handle(&mut self, now: Micros, event: Event, reply: &mut String) {
        self.gateway.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::write_action(&action, &self.site, reply);
        }
    }
}
