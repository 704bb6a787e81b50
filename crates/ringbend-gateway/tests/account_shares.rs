//! Shares of client accounts in scarce capacity.
//!
//! Load addressed: one account sends twelve times its usual load, or repeats rejected requests, while
//! engines have too few slots for all. In order of arrival, it would take twelve times the share of
//! each other account, whose requests are then late although their own load is unchanged.

mod support;

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use ringbend_gateway::AccountShares;
use ringbend_types::{ClientAccountId, Timestamp};
use support::{at, ms};

fn account(n: usize) -> ClientAccountId {
    format!("account-{n:03}").parse().unwrap()
}

/// The interval at which the queue in these tests serves one request.
const TICK: Duration = ms(10);

/// Serves one request per tick for `ticks`, always of the waiting account with the least use.
/// `demand` is the number of requests of each account per tick. Returns how many were served.
fn serve(shares: &mut AccountShares, start: Timestamp, ticks: u32, demand: &[f64]) -> Vec<usize> {
    let ids: Vec<_> = (0..demand.len()).map(account).collect();
    let (mut waiting, mut served) = (vec![0.0; demand.len()], vec![0; demand.len()]);
    for tick in 0..ticks {
        let now = start + TICK * tick;
        waiting.iter_mut().zip(demand).for_each(|(waiting, demand)| *waiting += demand);
        let ready = ids.iter().zip(&waiting).filter(|(_, waiting)| **waiting >= 1.0);
        let Some(next) = shares.least_used(now, ready.map(|(id, _)| Some(id))) else { continue };
        let next = ids.iter().position(|id| Some(id) == next).unwrap();
        (waiting[next], served[next]) = (waiting[next] - 1.0, served[next] + 1);
        shares.charge(now, Some(&ids[next]), 1.0);
    }
    served
}

/// Max-min shares of `capacity`, by repeatedly serving all demands below an even share in full.
fn max_min(demand: &[f64], capacity: f64) -> Vec<f64> {
    let mut sorted: Vec<f64> = demand.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut left, mut level) = (capacity, f64::INFINITY);
    for (at, demand) in sorted.iter().enumerate() {
        let even = left / (sorted.len() - at) as f64;
        if *demand > even {
            level = even;
            break;
        }
        left -= demand;
    }
    demand.iter().map(|demand| demand.min(level)).collect()
}

#[test]
fn small_demands_are_served_in_full_and_the_rest_is_shared_evenly() {
    let demand = [0.05, 0.1, 0.6, 0.9, 0.4];
    let served = serve(&mut AccountShares::default(), at(0), 6_000, &demand);
    for (served, share) in served.iter().zip(max_min(&demand, 1.0)) {
        let expected = share * 6_000.0;
        assert!((*served as f64 - expected).abs() <= 0.01 * 6_000.0, "{served} of {expected}");
    }
}

/// Without shares, the account with the twelvefold load gets 12 of 35 requests served.
#[test]
fn a_twelvefold_load_of_one_account_costs_the_others_nothing_of_their_share() {
    let mut demand = vec![0.95 / 24.0; 24];
    let before = serve(&mut AccountShares::default(), at(0), 6_000, &demand);
    demand[7] *= 12.0;
    let after = serve(&mut AccountShares::default(), at(0), 6_000, &demand);
    for other in (0..24).filter(|other| *other != 7) {
        assert!(
            after[other] + 2 >= before[other],
            "{other}: {} of {}",
            after[other],
            before[other]
        );
    }
}

/// An account that was idle has no use. If use were kept for long, it would be served alone until
/// it had caught up with what others used before, and they would all be late.
#[test]
fn an_account_that_returns_is_served_alone_only_for_a_moment() {
    let mut shares = AccountShares::default();
    serve(&mut shares, at(0), 3_000, &[0.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]);
    let served = serve(&mut shares, at(30_000), 100, &[1.0; 9]);
    assert!((9..=45).contains(&served[0]), "{served:?}");
    let later = serve(&mut shares, at(31_000), 900, &[1.0; 9]);
    assert!(later.iter().all(|served| (90..=110).contains(served)), "{later:?}");
}

#[test]
fn use_halves_every_two_seconds() {
    let mut shares = AccountShares::default();
    shares.charge(at(1_000), Some(&account(1)), 8.0);
    for (now, left) in [(1_000, 8.0), (3_000, 4.0), (5_000, 2.0), (7_000, 1.0)] {
        let usage = shares.usage(at(now), Some(&account(1)));
        assert!((usage - left).abs() < 1e-9, "{usage} at {now} ms");
    }
    assert_eq!(shares.usage(at(21_000), Some(&account(1))), 0.0);
}

#[test]
fn recent_use_outweighs_more_use_long_ago() {
    let mut shares = AccountShares::default();
    shares.charge(at(0), Some(&account(1)), 10.0);
    shares.charge(at(8_000), Some(&account(2)), 1.0);
    let ids = [account(2), account(1)];
    let order = shares.order(at(8_000), ids.iter().map(Some));
    assert_eq!(order[..], [Some(&ids[1]), Some(&ids[0])]);
}

#[test]
fn accounts_without_use_come_first_and_ties_are_sorted_by_id() {
    let mut shares = AccountShares::default();
    shares.charge(at(0), Some(&account(1)), 1.0);
    shares.charge(at(0), None, 1.0);
    let ids: Vec<_> = (0..4).map(account).collect();
    let order = shares.order(at(0), [Some(&ids[1]), None, Some(&ids[3]), Some(&ids[2])]);
    assert_eq!(order[..], [Some(&ids[2]), Some(&ids[3]), None, Some(&ids[1])]);
}

/// Callers without a key would otherwise escape the shares, or each of them would need an entry.
#[test]
fn requests_without_an_account_form_one_account() {
    let mut shares = AccountShares::default();
    (0..100).for_each(|_| shares.charge(at(0), None, 1.0));
    assert_eq!(shares.usage(at(0), None), 100.0);
    assert!(shares.is_empty());
    assert_eq!(shares.order(at(0), [None, None])[..], [None]);
}

/// A service that runs for months sees all its client accounts; only those active now may count.
#[test]
fn memory_is_bounded_by_active_accounts() {
    let mut shares = AccountShares::default();
    for n in 0..20_000 {
        shares.charge(at(n as u64 * 100), Some(&account(n)), 1.0);
        // 40 s at ten accounts per second.
        assert!(shares.len() <= 400, "{}", shares.len());
    }
    shares.charge(at(10_000_000), Some(&account(1)), 1.0);
    assert_eq!(shares.len(), 1);
}

#[test]
fn costs_that_are_not_positive_and_finite_are_ignored() {
    let mut shares = AccountShares::default();
    for cost in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        shares.charge(at(0), Some(&account(1)), cost);
    }
    assert!(shares.is_empty());
}

/// Use stays comparable over the whole life of a process, and after a pause of months.
#[test]
fn long_times_do_not_overflow() {
    let mut shares = AccountShares::default();
    let mut now = at(0);
    for step in [ms(1), ms(19_999), ms(20_000), ms(86_400_000), ms(40_000_000_000)] {
        now = now + step;
        shares.charge(now, Some(&account(1)), 2.0);
        shares.charge(now, Some(&account(2)), 1.0);
        let usage = shares.usage(now, Some(&account(2)));
        assert!((1.0..=2.01).contains(&usage), "{usage}");
        assert_eq!(
            shares.least_used(now, [Some(&account(1)), Some(&account(2))]).unwrap(),
            Some(&account(2))
        );
    }
}

quickcheck! {
    /// Instances hear of the same work in different orders.
    fn the_order_of_charges_and_accounts_does_not_matter(charges: Vec<(u8, u8, u16)>, by: usize) -> bool {
        let ids: Vec<_> = (0..8).map(account).collect();
        let mut charges: Vec<_> = charges;
        let now = at(20_000);
        let record = |charges: &[(u8, u8, u16)]| {
            let mut shares = AccountShares::default();
            for (id, cost, time) in charges {
                let time = at(u64::from(*time % 18_000));
                shares.charge(time, Some(&ids[usize::from(*id) % 8]), f64::from(*cost));
            }
            shares
        };
        let first = record(&charges);
        let len = charges.len().max(1);
        charges.rotate_left(by % len);
        charges.reverse();
        let second = record(&charges);
        ids.iter().all(|id| {
            let (a, b) = (first.usage(now, Some(id)), second.usage(now, Some(id)));
            (a - b).abs() <= 1e-9 * a.max(1.0)
        }) && first.order(now, ids.iter().map(Some)) == first.order(now, ids.iter().rev().map(Some))
    }

    fn the_least_used_account_is_the_first_in_order(charges: Vec<(u8, u8)>) -> bool {
        let ids: Vec<_> = (0..8).map(account).collect();
        let mut shares = AccountShares::default();
        for (at_s, (id, cost)) in charges.into_iter().enumerate() {
            shares.charge(at(at_s as u64 * 300), Some(&ids[usize::from(id) % 8]), f64::from(cost));
        }
        let (all, now) = (|| ids.iter().map(Some).chain([None]), at(10_000));
        let first = shares.order(now, all()).first().copied();
        shares.least_used(now, all()) == first
    }

    /// For any demands: none is served less than its max-min share, up to what one account takes
    /// alone when it returns and one request per account.
    fn any_demands_get_their_max_min_share(demand: Vec<u8>) -> TestResult {
        if demand.is_empty() || demand.len() > 16 {
            return TestResult::discard();
        }
        let demand: Vec<f64> = demand.into_iter().map(|d| f64::from(d % 100) / 100.0).collect();
        let ticks = 3_000;
        let served = serve(&mut AccountShares::default(), at(0), ticks, &demand);
        let shares = max_min(&demand, 1.0);
        let is_fair = |(served, share): (&usize, &f64)| *served as f64 >= share * f64::from(ticks) * 0.97 - 4.0;
        TestResult::from_bool(served.iter().zip(&shares).all(is_fair))
    }
}
