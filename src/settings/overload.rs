//! The keys of the limits on what callers can make a process hold, for both kinds of
//! entry daemon.

use super::{Section, form};
use crate::overload::OverloadSettings;

/// The largest share of the memory that requests and responses may hold is one part of
/// this many.
const MEMORY_PARTS: u64 = 2;

/// Reads the keys of the limits and checks them.
pub(super) fn read(settings: &mut OverloadSettings, section: &mut Section<'_>) {
    settings.memory = section.value("memory", &form::SIZE, settings.memory);
    settings.descriptors = section.value("descriptors", &form::COUNT, settings.descriptors);
    settings.requests = section.optional("requests", &form::SIZE);
    settings.connections = section.optional("connections", &form::COUNT);
    settings.stall = section.value("stall", &form::DURATION, settings.stall);
    check(settings, section);
}

fn check(settings: &OverloadSettings, section: &mut Section<'_>) {
    if settings.memory < OverloadSettings::MIN_MEMORY {
        section.report("memory", "must be at least 64MB");
    }
    if settings.descriptors < OverloadSettings::MIN_DESCRIPTORS {
        section.report("descriptors", "must be at least 256");
    }
    if settings.stall < OverloadSettings::MIN_STALL {
        section.report("stall", "must be at least 1s");
    }
    if let Some(requests) = settings.requests {
        let least = settings.least_budget();
        if requests < least {
            let message = format!("must be at least {least}, for the largest request and response");
            section.report("requests", &message);
        }
        if requests > settings.memory / MEMORY_PARTS {
            section.report("requests", "must be at most half of memory");
        }
    }
    if settings
        .connections
        .is_some_and(|count| count > settings.descriptors / 2)
    {
        section.report("connections", "must be at most half of descriptors");
    }
}
