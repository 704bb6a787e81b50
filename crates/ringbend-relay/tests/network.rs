//! Options of connections to endpoints and other instances.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use ringbend_relay::{Network, TcpNetwork};
use socket2::SockRef;
use tokio::net::TcpListener;

/// Guards against connections that stay open for minutes after their link was lost, and against a
/// `TCP_USER_TIMEOUT`, which would decide when probes give up.
#[actix_rt::test]
async fn idle_connections_are_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let address: SocketAddrV4 = address;
    let connection = TcpNetwork::default().connect(address).await.unwrap();
    let socket = SockRef::from(&connection);
    assert!(socket.keepalive().unwrap());
    let (time, interval) = (socket.tcp_keepalive_time(), socket.tcp_keepalive_interval());
    let probes = socket.tcp_keepalive_retries().unwrap();
    let breaks_after = time.unwrap() + interval.unwrap() * probes;
    assert!(breaks_after > Duration::from_millis(1_500) && breaks_after < Duration::from_secs(4));
    assert_eq!(socket.tcp_user_timeout().unwrap(), None);
    assert!(connection.nodelay().unwrap());
}

#[actix_rt::test]
async fn connections_come_from_the_configured_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let source = Ipv4Addr::new(127, 7, 7, 7);
    let network = TcpNetwork::new(Some(source));
    let (connection, accepted) = tokio::join!(network.connect(address), listener.accept());
    assert_eq!(connection.unwrap().local_addr().unwrap().ip(), source);
    assert_eq!(accepted.unwrap().1.ip(), source);
}
