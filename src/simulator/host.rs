//! The gateways of one simulated cluster, and the batch that is being read.

use super::instance::Instance;
use super::{decode, encode};
use crate::decision::{EndpointUpdate, Event, Micros, WatchScope};
use crate::site_settings::{FieldError, Fields, Result};
use std::collections::BTreeMap;

/// An endpoint list whose entry lines have not all been read.
struct PartialList {
    gateway: u32,
    scope: WatchScope,
    entries: Vec<EndpointUpdate>,
    entries_left: u64,
}

/// The gateways of one process by number, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// Gateway that the following lines apply to.
    selected_gateway: Option<u32>,
    now: Micros,
    line_number: u64,
    in_batch: bool,
    partial_list: Option<PartialList>,
    replies: BTreeMap<u32, String>,
}

impl Host {
    /// Handles one line of input, and returns the reply at the end of a batch.
    ///
    /// # Errors
    /// The line is invalid or out of sequence. The batch cannot be continued after an error.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>> {
        self.line_number += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let fields = Fields::parse(self.line_number, text)?;
        if fields.message != "TICK" && !self.in_batch {
            return Err(fields.out_of_sequence("TICK to begin a batch"));
        }
        if self.partial_list.is_some() && fields.message != "ITEM" {
            return Err(fields.out_of_sequence("ITEM, as the list is incomplete"));
        }
        match fields.message {
            "TICK" => self.begin_batch(&fields)?,
            "FOR" => self.selected_gateway = Some(fields.required_u32("who")?),
            "START" => {
                let gateway = self.current_gateway(&fields)?;
                self.instances.insert(gateway, Instance::start(&fields)?);
            }
            "DOWN" => {
                let gateway = self.current_gateway(&fields)?;
                self.instances.remove(&gateway);
                self.replies.remove(&gateway);
            }
            "FLUSH" => return Ok(Some(self.end_batch())),
            "FLEET" => self.begin_list(&fields)?,
            "ITEM" => self.read_entry(&fields)?,
            _ => self.read_event(&fields)?,
        }
        Ok(None)
    }

    /// Checks that the input may end here.
    ///
    /// # Errors
    /// A batch is incomplete.
    pub fn finish(&self) -> Result<()> {
        if self.in_batch {
            let location = format!("line {}", self.line_number);
            return Err(FieldError::OutOfSequence {
                location,
                expected: "FLUSH before the end of the input",
            });
        }
        Ok(())
    }

    fn current_gateway(&self, fields: &Fields) -> Result<u32> {
        self.selected_gateway.ok_or_else(|| fields.out_of_sequence("a FOR line before it"))
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<()> {
        let now = Micros(fields.required_u64("now")?);
        if self.in_batch || now < self.now {
            return Err(fields.error("now", "FLUSH before the next TICK, and a clock that does not go back"));
        }
        self.now = now;
        self.in_batch = true;
        self.selected_gateway = None;
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.in_batch = false;
        let mut reply = String::new();
        for (gateway, actions) in std::mem::take(&mut self.replies) {
            encode::write_gateway_reply(gateway, &actions, &mut reply);
        }
        encode::end_reply(&mut reply);
        reply
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<()> {
        let scope = decode::watch_scope(fields)?;
        let entries_left = fields.u64_or("items", 0)?;
        let gateway = self.current_gateway(fields)?;
        self.partial_list = Some(PartialList { gateway, scope, entries: Vec::new(), entries_left });
        self.end_list_if_complete();
        Ok(())
    }

    fn read_entry(&mut self, fields: &Fields) -> Result<()> {
        let Some(list) = self.partial_list.as_mut() else {
            return Err(fields.out_of_sequence("a FLEET list before it"));
        };
        if let Some(instance) = self.instances.get_mut(&list.gateway) {
            list.entries.push(instance.read_entry(fields)?);
        }
        list.entries_left -= 1;
        self.end_list_if_complete();
        Ok(())
    }

    fn end_list_if_complete(&mut self) {
        if let Some(list) = self.partial_list.take_if(|list| list.entries_left == 0) {
            let event = Event::EndpointsChanged { scope: list.scope, endpoints: list.entries };
            self.handle(list.gateway, event);
        }
    }

    /// Decodes and handles an event. Lines for gateways that are not running are ignored.
    fn read_event(&mut self, fields: &Fields) -> Result<()> {
        let gateway = self.current_gateway(fields)?;
        let Some(instance) = self.instances.get_mut(&gateway) else { return Ok(()) };
        if let Some(event) = instance.read_event(fields, self.now)? {
            self.handle(gateway, event);
        }
        Ok(())
    }

    fn handle(&mut self, gateway: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&gateway) {
            instance.handle(self.now, event, self.replies.entry(gateway).or_default());
        }
    }
}
