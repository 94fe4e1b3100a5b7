//! The gateways of one simulated fleet, and the batch that is being read.

use super::instance::Instance;
use super::{decode, encode};
use crate::decision::{EndpointUpdate, Event, Micros, WatchScope};
use crate::site_settings::{FieldError, Fields, Result};
use std::collections::BTreeMap;

/// An endpoint list whose entry lines are still coming.
struct OpenList {
    gateway: u32,
    scope: WatchScope,
    entries: Vec<EndpointUpdate>,
    entries_left: u64,
}

/// The gateways of one process, by number, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// The gateway that the lines concern.
    current: Option<u32>,
    now: Micros,
    line_number: u64,
    in_batch: bool,
    open_list: Option<OpenList>,
    replies: BTreeMap<u32, String>,
}

impl Host {
    /// Takes one line of input; at the end of a batch, returns the reply.
    ///
    /// # Errors
    /// A line that makes no sense, or not where it stands. The batch can't go on after it.
    pub fn line(&mut self, text: &str) -> Result<Option<String>> {
        self.line_number += 1;
        if text.is_empty() {
            return Ok(None);
        }
        let fields = Fields::parse(self.line_number, text)?;
        if fields.message != "TICK" && !self.in_batch {
            return Err(fields.out_of_sequence("TICK to begin a batch"));
        }
        if self.open_list.is_some() && fields.message != "ITEM" {
            return Err(fields.out_of_sequence("ITEM, the list is short"));
        }
        match fields.message {
            "TICK" => self.begin_batch(&fields)?,
            "FOR" => self.current = Some(fields.small("who")?),
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

    /// Whether the input may end now.
    ///
    /// # Errors
    /// A batch is not complete.
    pub fn finish(&self) -> Result<()> {
        if self.in_batch {
            let place = format!("line {}", self.line_number);
            return Err(FieldError::Sequence { place, wanted: "FLUSH before the input's end" });
        }
        Ok(())
    }

    fn current_gateway(&self, fields: &Fields) -> Result<u32> {
        self.current.ok_or_else(|| fields.out_of_sequence("a FOR line before it"))
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<()> {
        let now = Micros(fields.whole("now")?);
        if self.in_batch || now < self.now {
            return Err(fields.error("now", "a batch's end first, and a clock that moves forward"));
        }
        self.now = now;
        self.in_batch = true;
        self.current = None;
        Ok(())
    }

    fn end_batch(&mut self) -> String {
        self.in_batch = false;
        let mut reply = String::new();
        for (gateway, actions) in std::mem::take(&mut self.replies) {
            encode::write_reply_of(gateway, &actions, &mut reply);
        }
        encode::end_reply(&mut reply);
        reply
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<()> {
        let scope = decode::watch_scope(fields)?;
        let entries_left = fields.whole_or("items", 0)?;
        let gateway = self.current_gateway(fields)?;
        self.open_list = Some(OpenList { gateway, scope, entries: Vec::new(), entries_left });
        self.end_list_if_complete();
        Ok(())
    }

    fn read_entry(&mut self, fields: &Fields) -> Result<()> {
        let Some(list) = self.open_list.as_mut() else {
            return Err(fields.out_of_sequence("only inside a FLEET list"));
        };
        if let Some(instance) = self.instances.get_mut(&list.gateway) {
            list.entries.push(instance.read_entry(fields)?);
        }
        list.entries_left -= 1;
        self.end_list_if_complete();
        Ok(())
    }

    fn end_list_if_complete(&mut self) {
        if let Some(list) = self.open_list.take_if(|list| list.entries_left == 0) {
            let event = Event::EndpointsChanged { scope: list.scope, endpoints: list.entries };
            self.handle(list.gateway, event);
        }
    }

    /// Lines for gateways that are not running are passed over.
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
