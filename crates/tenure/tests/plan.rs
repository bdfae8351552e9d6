//! Checks that a rack never changes its cell and that cells stay within their limit.

use std::collections::BTreeMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_ports::list::View;
use cowslipchute_tenure::inquiry::has_ended;
use cowslipchute_tenure::owner::Owner;
use cowslipchute_tenure::plan::Plan;
use proptest::prelude::*;
use yare::parameterized;

const LIMIT: usize = 20;

fn member(role: Role, name: &str, incarnation: u64, rack: &str) -> Member {
    Member {
        instance: name.into(),
        incarnation,
        role,
        state: State::Live,
        domain: "d".into(),
        rack: rack.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

/// Returns the workers of racks with the given sizes.
fn workers(racks: &BTreeMap<u8, usize>) -> Vec<Member> {
    let worker = |(rack, n): (&u8, usize)| {
        member(Role::Worker, &format!("w{rack}-{n}"), 1, &format!("r{rack}"))
    };
    racks.iter().flat_map(|(rack, &size)| (0..size).map(move |n| worker((rack, n)))).collect()
}

proptest! {
    #[test]
    fn no_rack_ever_moves(
        fleets in prop::collection::vec(prop::collection::btree_map(0..30u8, 1..30usize, 1..20), 1..8),
    ) {
        let mut plan = Plan::default();
        for racks in &fleets {
            let before = plan.clone();
            plan = plan.extended(&workers(racks), LIMIT).unwrap_or(plan);
            for (rack, index) in &before.racks {
                prop_assert_eq!(plan.cell_index(rack), Some(*index));
            }
            for rack in racks.keys() {
                let index = plan.cell_index(&format!("r{rack}"));
                prop_assert!(index.is_some());
            }
            prop_assert!(plan.extended(&workers(racks), LIMIT).is_none());
        }
    }

    #[test]
    fn a_first_plan_keeps_to_the_limit(racks in prop::collection::btree_map(0..30u8, 1..30usize, 1..20)) {
        let plan = Plan::default().extended(&workers(&racks), LIMIT).expect("no rack is planned yet");
        let mut cells: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (rack, &size) in &racks {
            let index = plan.cell_index(&format!("r{rack}")).expect("every rack is planned");
            cells.entry(index).or_default().push(size);
        }
        prop_assert_eq!(cells.len() as u32, plan.cell_count());
        for sizes in cells.values() {
            prop_assert!(sizes.iter().sum::<usize>() <= LIMIT || sizes.len() == 1);
        }
    }
}

#[parameterized(
    listed = { 5, Some(2), false },
    listed_in_an_old_list = { 3, Some(2), false },
    missing_from_a_newer_list = { 5, None, true },
    missing_from_the_same_list = { 4, None, true },
    not_yet_in_an_old_list = { 3, None, false },
    replaced = { 5, Some(3), true },
    replaced_in_an_old_list = { 3, Some(3), true },
    an_earlier_life_in_an_old_list = { 3, Some(1), false },
    an_earlier_life_in_a_newer_list = { 5, Some(1), true },
)]
fn an_owner_has_ended_only_if_the_list_surely_says_so(
    version: u64,
    listed: Option<u64>,
    ended: bool,
) {
    let address = ([127, 0, 0, 1], 1).into();
    let owner = Owner { instance: "p1".into(), incarnation: 2, address, list_version: 4 };
    let members =
        listed.map(|incarnation| member(Role::Placer, "p1", incarnation, "")).into_iter().collect();
    assert_eq!(has_ended(&owner, &View { version, members }), ended);
}
