//! The origin of a request.

use cowslipchute_base::id::Domain;
use cowslipchute_gateway::http::ORIGIN_HEADER;
use cowslipchute_gateway::http::Origin;
use poem::Request;

/// Returns the failure domain that a request names as its origin.
pub fn of(request: &Request) -> Option<Domain> {
    let origin = Origin::parse(request.header(ORIGIN_HEADER)?)?;
    Some(origin.domain)
}
