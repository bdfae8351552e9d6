//! Property test: instances with the same list form exactly one tree for each domain.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_spread::gossip::FANOUT;
use cowslipchute_spread::gossip::Gossip;
use cowslipchute_spread::rank;
use cowslipchute_spread::rank::Peer;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;

const DOMAINS: usize = 3;

fn member(at: usize, domain: usize, leaving: bool, worker: bool) -> Member {
    Member {
        instance: format!("i{at}").into(),
        incarnation: 1,
        role: if worker { Role::Worker } else { Role::Placer },
        state: if leaving { State::Leaving } else { State::Live },
        domain: format!("d{domain}").into(),
        rack: "".into(),
        address: SocketAddr::from(([127, 0, 0, 1], at as u16)),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

fn members() -> impl Strategy<Value = Vec<Member>> {
    let one = (0..DOMAINS, prop::bool::weighted(0.1), prop::bool::weighted(0.2));
    prop::collection::vec(one, 1..120).prop_map(|places| {
        let members = places.into_iter().enumerate();
        members.map(|(at, (domain, leaving, worker))| member(at, domain, leaving, worker)).collect()
    })
}

fn peer(member: &Member) -> Peer {
    Peer {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        address: member.address,
    }
}

/// Instances that know that one is unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    ToAll,
    ToThoseThatCallIt,
}

/// Returns the view of every instance that follows the configuration.
fn views(members: &[Member]) -> Vec<(Peer, Gossip)> {
    let following = members.iter().filter(|member| rank::is_follower(member)).map(peer);
    following
        .map(|me| {
            let mut gossip = Gossip::open(me.clone(), 1);
            gossip.set_members(members);
            (me, gossip)
        })
        .collect()
}

/// Makes one instance unresponsive.
fn silence(views: &mut Vec<(Peer, Gossip)>, silent: &Peer, known: Known) {
    views.retain(|(me, _)| me != silent);
    for (_, gossip) in views {
        let calls =
            gossip.parent() == Some(silent) || gossip.children().any(|child| child == silent);
        if known == Known::ToAll || calls {
            gossip.failed(silent, std::time::Duration::ZERO);
        }
    }
}

fn check(views: &[(Peer, Gossip)], children_max: usize) {
    let domains: BTreeSet<_> = views.iter().map(|(me, _)| me.domain.clone()).collect();
    for domain in domains {
        let own: Vec<_> = views.iter().filter(|(me, _)| me.domain == domain).collect();
        let holders = own.iter().filter(|(_, gossip)| gossip.holds_watch()).count();
        assert_eq!(holders, 1, "one instance of {domain} holds the watch");
        let mut reached = BTreeSet::new();
        for (me, gossip) in &own {
            assert!(gossip.children().count() <= children_max);
            for child in gossip.children() {
                assert!(reached.insert(child.instance.clone()), "{child:?} has one parent");
                let (_, view) = own
                    .iter()
                    .find(|(peer, _)| peer == child)
                    .expect("the child follows the configuration");
                assert_eq!(view.parent(), Some(me), "parent and child agree");
            }
        }
        assert_eq!(reached.len(), own.len() - 1, "every instance but the holder has a parent");
    }
}

proptest! {
    #[test]
    fn instances_form_one_tree_for_each_domain(
        members in members(),
        silent in 0usize..120,
        known in prop_oneof![Just(Known::ToAll), Just(Known::ToThoseThatCallIt)],
    ) {
        let mut views = views(&members);
        check(&views, FANOUT);
        if let Some((silent, _)) = views.get(silent).cloned() {
            silence(&mut views, &silent, known);
            check(&views, 2 * FANOUT);
        }
    }

    #[test]
    fn an_instance_that_comes_moves_no_other_in_rank(members in members(), domain in 0..DOMAINS) {
        let me = peer(&member(1000, domain, false, false));
        let before = rank::rank(&me, &members);
        let mut more = members.clone();
        more.push(member(2000, domain, false, false));
        let mut after = rank::rank(&me, &more);
        for peers in after.values_mut() {
            peers.retain(|peer| &*peer.instance != "i2000");
        }
        assert_eq!(before, after);
    }
}
