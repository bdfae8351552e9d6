//! Names, addresses and list entries of instances.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_ports::list;

use crate::requests::caller::WEB;
use crate::requests::case;
use crate::requests::server::Phase;
use crate::requests::server::Server;

/// Returns the name of a failure domain.
pub(super) fn domain_name(domain: usize) -> id::Domain {
    format!("domain-{domain}").into()
}

/// Returns the instance name of a backend server.
pub(super) fn server_name(server: usize) -> id::Instance {
    format!("executor-{server:02}").into()
}

/// Returns the address of a backend server.
pub(super) fn server_address(server: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, server as u8), 8000).into()
}

/// Returns the list entry of an entry instance.
pub(super) fn entry_member(number: usize, domain: usize) -> list::Member {
    list::Member {
        instance: format!("entry-{number}").into(),
        incarnation: 1,
        role: list::Role::Entry,
        state: list::State::Live,
        domain: domain_name(domain),
        rack: "".into(),
        address: (Ipv4Addr::new(10, 2, 0, number as u8), 4433).into(),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

/// Returns the list entry of a backend server.
pub(super) fn member(number: usize, server: &Server) -> list::Member {
    let leaving = matches!(server.phase, Phase::Leaving | Phase::Refusing);
    list::Member {
        instance: server_name(number),
        incarnation: server.incarnation,
        role: list::Role::Backend,
        state: if leaving { list::State::Leaving } else { list::State::Live },
        domain: domain_name(server.domain),
        rack: "".into(),
        address: server_address(number),
        service: WEB.into(),
        slots: case::SLOTS,
        connections: case::CONNECTIONS,
        capacity: Amount::ZERO,
    }
}
