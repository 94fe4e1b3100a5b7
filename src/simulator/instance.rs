//! One gateway of a simulated fleet.

use super::{decode, encode};
use crate::decision::{Action, EndpointUpdate, Event, Gateway, Micros};
use crate::site_settings::{FieldError, Fields, Result, Site};

/// A gateway with the names by which the wire knows what its events concern.
pub(super) struct Instance {
    gateway: Gateway,
    site: Site,
    /// Kept to be used again.
    actions: Vec<Action>,
}

impl Instance {
    /// Starts a gateway with the settings of a line.
    pub(super) fn start(fields: &Fields) -> Result<Instance> {
        let seed = fields.whole("rng_seed")?;
        let site = Site::read(fields)?;
        let gateway = Gateway::new(seed, site.settings.clone())
            .map_err(|error| FieldError::Settings { place: fields.place.clone(), error })?;
        Ok(Instance { gateway, site, actions: Vec::new() })
    }

    /// Reads an entry of an endpoint list.
    pub(super) fn read_entry(&mut self, fields: &Fields) -> Result<EndpointUpdate> {
        decode::endpoint_update(fields, &mut self.site)
    }

    /// Reads a line that is an event of this gateway.
    pub(super) fn read_event(&mut self, fields: &Fields, now: Micros) -> Result<Option<Event>> {
        decode::event(fields, &mut self.site, now)
    }

    /// Handles an event and appends what the gateway does.
    pub(super) fn handle(&mut self, now: Micros, event: Event, reply: &mut String) {
        self.gateway.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::write_action(&action, &self.site, reply);
        }
    }
}
