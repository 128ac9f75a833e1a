//! Decides on whose behalf a request is made.

use std::rc::Rc;

use http::HeaderMap;

use crate::gateway::core::GatewayCore;
use crate::gateway::organisation::{
    CredentialDigest, OrganisationEntry, OrganisationName, read_credential,
};
use crate::gateway::refusal::RefusalReason;
use crate::gateway::route::{RouteEntry, RouteTable};

/// Caller with a valid credential.
#[derive(Debug, Clone)]
pub struct AuthorisedCaller {
    /// Organisation of the caller.
    pub organisation: Rc<OrganisationEntry>,
    /// Digest of the credential.
    pub credential: CredentialDigest,
}

/// Returns the caller of a request; `None` if the request needs no credential.
///
/// A VM whose configuration may be stale doesn't know whether an unknown credential has been added since, so it refuses
/// such a request as not run, and the caller tries another VM.
pub fn authorise(
    core: &GatewayCore,
    table: &RouteTable,
    route: &RouteEntry,
    headers: &HeaderMap,
) -> Result<Option<AuthorisedCaller>, RefusalReason> {
    let Some(organisations) = table.organisations() else {
        return Ok(None);
    };
    if route.is_public {
        return Ok(None);
    }
    let credential = read_credential(headers).ok_or(RefusalReason::Unauthorised)?;
    let Some(organisation) = organisations.find(credential) else {
        if core.may_have_stale_config() {
            return Err(RefusalReason::OldConfig);
        }
        return Err(RefusalReason::Unauthorised);
    };
    if core.may_lack_credential_removal() {
        return Err(RefusalReason::OldConfig);
    }
    Ok(Some(AuthorisedCaller {
        organisation: Rc::clone(organisation),
        credential,
    }))
}

/// Returns the route as it applies to an organisation, whose home regions limit it further.
pub fn route_of_organisation(
    route: &Rc<RouteEntry>,
    organisation: Option<&OrganisationEntry>,
) -> Rc<RouteEntry> {
    match organisation {
        Some(organisation) if organisation.home_regions.is_limited() => Rc::new(RouteEntry {
            home_regions: route.home_regions.and(&organisation.home_regions),
            ..RouteEntry::clone(route)
        }),
        _ => Rc::clone(route),
    }
}

/// Returns the route as it applies to a request that another VM has passed on. `None` if this VM doesn't know the
/// organisation that the request states, so that it can't know its home regions.
pub fn route_of_passed_on(
    table: &RouteTable,
    route: &Rc<RouteEntry>,
    organisation: Option<OrganisationName>,
) -> Option<Rc<RouteEntry>> {
    let Some(name) = organisation else {
        return Some(Rc::clone(route));
    };
    let organisation = table.organisations()?.named(&name)?;
    Some(route_of_organisation(route, Some(organisation)))
}

#[cfg(test)]
#[path = "authorise_tests.rs"]
mod tests;
