//! Compatibility of the stored estimates that an owner hands to the next one.

use cowslipchute_planner::estimates::Estimates;
use cowslipchute_planner::record;

/// Size of the last field in bytes: one number for each of four horizons.
const LAST_FIELD: usize = 4 * size_of::<f64>();

#[test]
fn what_an_earlier_version_left_is_refused_and_not_misread() {
    let stored = record::encode(&Estimates::default());
    assert_eq!(record::decode::<Estimates>(&stored).unwrap(), Estimates::default());
    let earlier = &stored[..stored.len() - LAST_FIELD];
    assert!(record::decode::<Estimates>(earlier).is_err());
}
