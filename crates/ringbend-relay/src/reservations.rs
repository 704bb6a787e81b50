//! Memory reservations on engines for a prompt that is too large for its lead engine.

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
use crate::log_fields::OrNoAnswer;
use crate::node::Node;
use crate::ports::ReservationCommand;

/// Timeout of a reservation request. Engines handle it without occupying a slot.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(500);

/// How long memory stays reserved for a request that no engine has started. Engines may not keep
/// unused memory reserved for nine seconds, as other requests wait for it.
const UNUSED_RESERVATION_TIMEOUT: Duration = Duration::from_millis(7_500);

/// Maximum size of the response to a reservation request, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// A reservation and the address of its engine.
#[derive(Debug, Clone)]
pub(crate) struct ReservedEndpoint {
    pub(crate) reservation: Reservation,
    pub(crate) address: SocketAddrV4,
}

/// Reservations that are renewed until this value is dropped, and then released.
pub(crate) struct MemoryReservations {
    node: Rc<Node>,
    endpoints: Rc<Vec<ReservedEndpoint>>,
    renewal_task: JoinHandle<()>,
    /// When the request must have started to run.
    pub(crate) unused_until: Timestamp,
}

impl MemoryReservations {
    /// Reserves memory on all of `endpoints`, or on none. The error is the reservation that was
    /// refused.
    pub(crate) async fn reserve(
        node: Rc<Node>,
        endpoints: Vec<ReservedEndpoint>,
    ) -> Result<Self, Reservation> {
        let endpoints = Rc::new(endpoints);
        // Created first, so that reservations are released however this function ends.
        let renewal_task = tokio::task::spawn_local(renew(node.clone(), endpoints.clone()));
        let unused_until = node.clock.now() + UNUSED_RESERVATION_TIMEOUT;
        let reservations = Self { node, endpoints, renewal_task, unused_until };
        let requests = reservations.endpoints.iter().map(|reserved| {
            send_command(
                &reservations.node,
                reserved.address,
                ReservationCommand::Reserve(&reserved.reservation, RESERVATION_TTL),
            )
        });
        let answers = join_all(requests).await;
        let refused = reservations
            .endpoints
            .iter()
            .zip(answers)
            .find(|(_, answer)| *answer != Some(ReservationReply::Done));
        match refused {
            Some((reserved, _)) => Err(reserved.reservation.clone()),
            None => Ok(reservations),
        }
    }

    /// The reservation on the engine at `address`.
    pub(crate) fn reservation_at(&self, address: SocketAddrV4) -> Option<ReservationId> {
        let reserved = self.endpoints.iter().find(|reserved| reserved.address == address)?;
        Some(reserved.reservation.id)
    }
}

impl Drop for MemoryReservations {
    fn drop(&mut self) {
        self.renewal_task.abort();
        let (node, endpoints) = (self.node.clone(), self.endpoints.clone());
        tokio::task::spawn_local(async move {
            let requests = endpoints.iter().map(|reserved| {
                send_command(
                    &node,
                    reserved.address,
                    ReservationCommand::Release(&reserved.reservation),
                )
            });
            join_all(requests).await;
        });
    }
}

async fn renew(node: Rc<Node>, endpoints: Rc<Vec<ReservedEndpoint>>) {
    loop {
        tokio::time::sleep(RESERVATION_RENEWAL).await;
        let requests = endpoints.iter().map(|reserved| {
            send_command(
                &node,
                reserved.address,
                ReservationCommand::Reserve(&reserved.reservation, RESERVATION_TTL),
            )
        });
        join_all(requests).await;
    }
}

/// Sends one reservation request and logs the result; `None` if there was no response.
async fn send_command(
    node: &Rc<Node>,
    address: SocketAddrV4,
    command: ReservationCommand<'_>,
) -> Option<ReservationReply> {
    let (operation, reservation) = match &command {
        ReservationCommand::Reserve(reservation, _) => ("hold", *reservation),
        ReservationCommand::Release(reservation) => ("release", *reservation),
    };
    let answer = match tokio::time::timeout(
        RESERVATION_TIMEOUT,
        send_request(node, address, &command),
    )
    .await
    {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(e)) => {
            log::info!(target: "memory", ticket:% = reservation.id, error:% = e; "reservation request failed");
            None
        }
        Err(_) => None,
    };
    log::info!(
        target: "memory", order = operation, ticket:% = reservation.id, endpoint:% = reservation.endpoint,
        tokens = reservation.tokens, answer:% = OrNoAnswer(answer); "reservation request done"
    );
    answer
}

async fn send_request(
    node: &Rc<Node>,
    address: SocketAddrV4,
    command: &ReservationCommand<'_>,
) -> Result<ReservationReply, ExchangeError> {
    let request = node.dialect.reservation_request(command);
    let (ReservationCommand::Reserve(reservation, _) | ReservationCommand::Release(reservation)) =
        command;
    let endpoint = reservation.endpoint.clone();
    let known = node.directory.borrow().get(&endpoint).cloned();
    let sent_at = node.clock.now();
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static(request.path);
    head.headers = request.headers;
    head.set_connection_type(actix_http::ConnectionType::Close);
    let connection = node.connect_endpoint(address).await?;
    let mut incoming = exchange::send(&node.http_config, connection, head, request.body).await?;
    let status = incoming.head.status;
    let response = node.dialect.parse_response(status, &incoming.head.headers);
    if let Some(known) = known.filter(|_| !response.is_wrong_endpoint) {
        node.apply_signals(&known, sent_at, &response.signals, LimitSource::Reservation);
    }
    let body = incoming.read_to_end(MAX_RESPONSE_BYTES).await?;
    if let Some(start) = node.dialect.parse_reservation_start(&body) {
        node.record_endpoint_start(&endpoint, start);
    }
    Ok(node.dialect.parse_reservation_response(status))
}
