//! Data centres in which a request may run.

use ringbend_gateway::{AllowedDataCentres, AllowedRegions, RegionMap};
use ringbend_types::DataCentre;

fn map() -> RegionMap {
    let all = [("a-1", "a"), ("a-2", "a"), ("b-1", "b")];
    all.into_iter().map(|(dc, region)| (dc.parse().unwrap(), region.parse().unwrap())).collect()
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::new(regions.iter().map(|region| region.parse().unwrap()))
}

fn allowed(restrictions: &[&AllowedRegions]) -> Vec<&'static str> {
    let allowed = map().data_centres_in(restrictions);
    let is_allowed = |name: &&str| allowed.contains(&name.parse::<DataCentre>().unwrap());
    ["a-1", "a-2", "b-1", "unknown"].into_iter().filter(is_allowed).collect()
}

#[test]
fn restrictions_of_route_and_account_both_bind() {
    assert_eq!(allowed(&[&only(&["a"])]), ["a-1", "a-2"]);
    assert_eq!(allowed(&[&only(&["a", "b"]), &only(&["b"])]), ["b-1"]);
    assert_eq!(allowed(&[&only(&[]), &only(&["b"])]), ["b-1"]);
}

#[test]
fn without_restrictions_all_data_centres_are_allowed() {
    assert_eq!(map().data_centres_in(&[&only(&[]), &only(&[])]), AllowedDataCentres::Any);
    assert_eq!(allowed(&[]), ["a-1", "a-2", "b-1", "unknown"]);
}

#[test]
fn contradictory_or_unknown_regions_allow_no_data_centre() {
    assert!(map().data_centres_in(&[&only(&["a"]), &only(&["b"])]).is_empty());
    assert!(map().data_centres_in(&[&only(&["c"])]).is_empty());
}
