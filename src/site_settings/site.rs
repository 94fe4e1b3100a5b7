//! Settings of a site, and the external names of its classes, plans, zones, labels and endpoints.

use super::fields::{Fields, Result};
use super::keys;
use crate::decision::{EndpointId, LabelId, Settings, ZoneId};
use std::collections::HashMap;

/// Maximum number of distinct release labels. All further labels share one number.
const MAX_LABELS: usize = 1000;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Names, numbered in the order in which they were first seen.
#[derive(Debug, Default)]
struct NumberedNames(HashMap<String, u32>);

impl NumberedNames {
    fn number_for(&mut self, name: &str) -> u32 {
        let next = self.0.len() as u32;
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

/// Settings of a site, with the identifiers assigned to names in the settings and to names seen later.
pub(crate) struct Site {
    pub(crate) settings: Settings,
    /// Class numbers by name.
    pub(crate) classes: HashMap<String, usize>,
    /// Plan numbers by name.
    pub(crate) plans: HashMap<String, usize>,
    zones: NumberedNames,
    labels: NumberedNames,
    /// Names of the endpoints seen so far.
    endpoint_names: HashMap<EndpointId, String>,
}

impl Site {
    /// Reads the settings from named values.
    pub(crate) fn read(fields: &Fields) -> Result<Site> {
        let (class_names, classes) = keys::read_classes(fields)?.into_iter().unzip();
        let (plan_names, plans) = keys::read_plans(fields)?.into_iter().unzip();
        let mut zones = NumberedNames::default();
        for name in fields.optional_text("zones").into_iter().flat_map(|names| names.split(',')) {
            zones.number_for(name);
        }
        let zone = ZoneId(zones.number_for(fields.optional_text("zone").unwrap_or("")));
        Ok(Site {
            settings: keys::read_settings(fields, zone, classes, plans)?,
            classes: numbers_by_name(class_names),
            plans: numbers_by_name(plan_names),
            zones,
            labels: NumberedNames::default(),
            endpoint_names: HashMap::new(),
        })
    }

    /// Returns the identifier of an endpoint and records its name. The identifier is the same at every gateway, unless
    /// the hashes of two names collide.
    pub(crate) fn endpoint_id(&mut self, name: &str) -> EndpointId {
        let id = self.find_endpoint_id(name);
        self.endpoint_names.entry(id).or_insert_with(|| name.to_string());
        id
    }

    /// Returns the identifier of an endpoint that was seen before.
    pub(crate) fn known_endpoint_id(&self, name: &str) -> Option<EndpointId> {
        Some(self.find_endpoint_id(name)).filter(|id| self.endpoint_names.contains_key(id))
    }

    /// Returns the name of an endpoint; empty if it was never seen.
    pub(crate) fn endpoint_name(&self, id: EndpointId) -> &str {
        self.endpoint_names.get(&id).map_or("", String::as_str)
    }

    /// Returns the FNV-1a hash of the name, or the next free number on a collision.
    fn find_endpoint_id(&self, name: &str) -> EndpointId {
        let hash = name
            .bytes()
            .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        let mut id = EndpointId(hash);
        while self.endpoint_names.get(&id).is_some_and(|known| known != name) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        id
    }

    /// Returns the number of a zone, assigning one to a new name.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.number_for(name))
    }

    /// Returns the number of a release label, assigning one to a new name.
    pub(crate) fn label(&mut self, name: &str) -> LabelId {
        if self.labels.0.len() >= MAX_LABELS && !self.labels.0.contains_key(name) {
            return LabelId(u32::MAX);
        }
        LabelId(self.labels.number_for(name))
    }
}

/// Maps names to their numbers. If a name occurs twice, the later number applies.
fn numbers_by_name(names: Vec<String>) -> HashMap<String, usize> {
    names.into_iter().enumerate().map(|(number, name)| (name, number)).collect()
}
