//! A small fleet of sidecars over some zones, and the servers of the zones.

use crate::rig::*;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The clients' requests that the servers of the zone got: when, and which.
pub type Arrivals = Arc<Mutex<Vec<(Duration, String)>>>;

/// A server of a zone, which answers at once.
pub fn server(zone: &'static str, arrivals: Arrivals) -> SocketAddr {
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Ok(asked) = reader.message() {
            let id = asked.header("x-trace-id").to_string();
            if !id.is_empty() {
                arrivals.lock().unwrap().push((since_start(), id.clone()));
                thread::sleep(ms(5));
            }
            let body = answer("200 OK", format!("{id} {zone}").as_bytes());
            if reader.stream.write_all(&body).is_err() {
                return;
            }
        }
    })
}

pub fn free_udp_port() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("its address")
}

/// One sidecar of the fleet.
pub struct Replica {
    pub name: &'static str,
    pub zone: &'static str,
    pub ordinal: u32,
    pub listen: SocketAddr,
    /// Where it listens for members.
    pub fleet: SocketAddr,
    /// Where members send to: the same, or a proxy before it.
    pub advertise: SocketAddr,
}

/// Three sidecars, in two of the zones.
pub fn replicas() -> [Replica; 3] {
    let replica = |name, zone, ordinal| {
        let fleet = free_udp_port();
        Replica { name, zone, ordinal, listen: free_port(), fleet, advertise: fleet }
    };
    [replica("n0", "a", 0), replica("n1", "b", 1), replica("n2", "a", 2)]
}

/// Writes the operators' form of a sidecar's configuration and returns its path.
pub fn write_file(
    replica: &Replica,
    zones: &[&str],
    seeds: &[SocketAddr],
    servers: &[(&str, &str, SocketAddr)],
) -> String {
    let listed: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let listed = listed.join(", ");
    let Replica { name, zone, ordinal, listen, fleet, advertise } = replica;
    let state = folder().join(format!("{name}-state"));
    std::fs::create_dir_all(&state).expect("the state folder is created");
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let mut text = format!(
        "name = \"{name}\"\nlisten = \"{listen}\"\nzones = [{listed}]\nzone = \"{zone}\"\ncopies = 3\nordinal = {ordinal}\n\
         state = \"{}\"\n\n[fleet]\nlisten = \"{fleet}\"\nadvertise = \"{advertise}\"\nseeds = [{}]\nname = \"review\"\n\n\
         [localities]\nwait = \"3s\"\nstep = \"500ms\"\n\n",
        state.display(),
        seeds.join(", ")
    );
    for (id, zone, address) in servers {
        text += &format!("[[servers]]\nid = \"{id}\"\naddress = \"{address}\"\nzone = \"{zone}\"\n\n");
    }
    text += "[[verbs]]\nname = \"view\"\nrepeats = \"pure\"\ngoal = \"800ms\"\nlimit = \"3s\"\n\n\
             [[verbs]]\nname = \"confirm\"\nrepeats = \"effectful\"\ngoal = \"800ms\"\nlimit = \"3s\"\n\n\
             [[tenants]]\nname = \"acme\"\nquota = 1000.0\n";
    let path = folder().join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("the configuration is written");
    path.display().to_string()
}
