//! Holding memory on engines for a prompt that is too large for its lead.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, RequestHead, Uri};
use futures_util::future::join_all;
use ringbend_gateway::{
    LimitSource, RESERVATION_RENEWAL, RESERVATION_TTL, Reservation, ReservationId, ReservationReply,
};
use ringbend_types::Timestamp;
use tokio::task::JoinHandle;

use crate::exchange::{self, ExchangeError};
use crate::fields::Word;
use crate::node::Node;
use crate::ports::ReservationCommand;

/// How long an engine may take to answer an order; it needs no slot for it.
const ORDER_TIME: Duration = Duration::from_millis(500);

/// How long memory is held for a request that no engine has begun. Engines may not keep memory that
/// no request uses for nine seconds: others wait for it.
const UNUSED_TIME: Duration = Duration::from_millis(7_500);

/// The longest answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// A ticket and where its engine listens.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub(crate) ticket: Reservation,
    pub(crate) address: SocketAddrV4,
}

/// Memory that is held and renewed until this is dropped, and then released.
pub(crate) struct HeldMemory {
    node: Rc<Node>,
    places: Rc<Vec<Place>>,
    renewing: JoinHandle<()>,
    /// When the request must have begun to run.
    pub(crate) unused_until: Timestamp,
}

impl HeldMemory {
    /// Holds all of `places`, or none. Tells which engine had no room.
    pub(crate) async fn hold(node: Rc<Node>, places: Vec<Place>) -> Result<Self, Reservation> {
        let places = Rc::new(places);
        // Made first, so that what was held is released however this ends.
        let renewing = tokio::task::spawn_local(renew(node.clone(), places.clone()));
        let unused_until = node.clock.now() + UNUSED_TIME;
        let held = Self { node, places, renewing, unused_until };
        let orders = held.places.iter().map(|place| {
            order(
                &held.node,
                place.address,
                ReservationCommand::Reserve(&place.ticket, RESERVATION_TTL),
            )
        });
        let answers = join_all(orders).await;
        let refused = held
            .places
            .iter()
            .zip(answers)
            .find(|(_, answer)| *answer != Some(ReservationReply::Done));
        match refused {
            Some((place, _)) => Err(place.ticket.clone()),
            None => Ok(held),
        }
    }

    /// The ticket on the engine at `address`.
    pub(crate) fn ticket_at(&self, address: SocketAddrV4) -> Option<ReservationId> {
        let place = self.places.iter().find(|place| place.address == address)?;
        Some(place.ticket.id)
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.renewing.abort();
        let (node, places) = (self.node.clone(), self.places.clone());
        tokio::task::spawn_local(async move {
            let orders = places.iter().map(|place| {
                order(&node, place.address, ReservationCommand::Release(&place.ticket))
            });
            join_all(orders).await;
        });
    }
}

async fn renew(node: Rc<Node>, places: Rc<Vec<Place>>) {
    loop {
        tokio::time::sleep(RESERVATION_RENEWAL).await;
        let orders = places.iter().map(|place| {
            order(&node, place.address, ReservationCommand::Reserve(&place.ticket, RESERVATION_TTL))
        });
        join_all(orders).await;
    }
}

/// Gives one order and logs what became of it; none if no answer came.
async fn order(
    node: &Rc<Node>,
    address: SocketAddrV4,
    order: ReservationCommand<'_>,
) -> Option<ReservationReply> {
    let (word, ticket) = match &order {
        ReservationCommand::Reserve(ticket, _) => ("hold", *ticket),
        ReservationCommand::Release(ticket) => ("release", *ticket),
    };
    let answer = match tokio::time::timeout(ORDER_TIME, give(node, address, &order)).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(e)) => {
            log::info!(target: "memory", ticket:% = ticket.id, error:% = e; "order failed");
            None
        }
        Err(_) => None,
    };
    log::info!(
        target: "memory", order = word, ticket:% = ticket.id, endpoint:% = ticket.endpoint,
        tokens = ticket.tokens, answer:% = Word(answer); "ordered"
    );
    answer
}

async fn give(
    node: &Rc<Node>,
    address: SocketAddrV4,
    order: &ReservationCommand<'_>,
) -> Result<ReservationReply, ExchangeError> {
    let call = node.dialect.reservation_request(order);
    let (ReservationCommand::Reserve(ticket, _) | ReservationCommand::Release(ticket)) = order;
    let endpoint = ticket.endpoint.clone();
    let known = node.directory.borrow().get(&endpoint).cloned();
    let asked = node.clock.now();
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static(call.path);
    head.headers = call.headers;
    head.set_connection_type(actix_http::ConnectionType::Close);
    let mut answer = exchange::send(&node.http, address, head, call.body).await?;
    let status = answer.head.status;
    let facts = node.dialect.parse_response(status, &answer.head.headers);
    if let Some(known) = known.filter(|_| !facts.is_wrong_endpoint) {
        node.apply_signals(&known, asked, &facts.signals, LimitSource::Reservation);
    }
    let body = answer.whole(MAX_ANSWER_BYTES).await?;
    if let Some(start) = node.dialect.parse_reservation_start(&body) {
        node.note_start(&endpoint, start);
    }
    Ok(node.dialect.parse_reservation_response(status))
}
