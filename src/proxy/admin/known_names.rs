//! The names of this site that routing rules may use.

use crate::cluster::rollout::RuleSet;
use std::collections::BTreeSet;

/// The names that routing rules may use.
#[derive(Debug, Default)]
pub struct KnownNames {
    /// Classes of requests.
    pub classes: BTreeSet<String>,
    /// Plans of customers.
    pub plans: BTreeSet<String>,
}

/// A rule refers to a name that this site does not define.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("rule: {kind}: there is no '{name}' here")]
pub struct UnknownName {
    kind: &'static str,
    name: String,
}

impl KnownNames {
    /// Checks that the rules refer only to classes and plans of this site.
    ///
    /// # Errors
    ///
    /// Returns the first unknown name, in the order of the rules.
    pub fn check(&self, rules: &RuleSet) -> Result<(), UnknownName> {
        for rule in &rules.0 {
            check_name("class", rule.class.as_ref(), &self.classes)?;
            check_name("plan", rule.plan.as_ref(), &self.plans)?;
        }
        Ok(())
    }
}

fn check_name(
    kind: &'static str,
    name: Option<&String>,
    known: &BTreeSet<String>,
) -> Result<(), UnknownName> {
    match name {
        Some(name) if !known.contains(name) => Err(UnknownName { kind, name: name.clone() }),
        _ => Ok(()),
    }
}
