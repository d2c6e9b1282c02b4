//! Converts between the schema's messages and the daemon's types.

use std::time::Duration;

use capnp::{Error, NotInSchema, struct_list};
use dottereltally_lib::{
    event, id,
    membership::heartbeat::{Heartbeat, Member, State},
    size,
};
use dottereltally_proto::peer_capnp;
use dottereltally_store::layout;

use crate::peer::{Response, Status};

/// Maximum number of members in a received heartbeat.
const MAX_MEMBERS: u32 = 4096;
/// Maximum number of fingerprints in a received heartbeat.
const MAX_FINGERPRINTS: u32 = 4096;
/// Maximum number of entries in a received admission message.
const MAX_ADMISSION_ENTRIES: u32 = 4096;
/// Longest name or address that is read, bytes.
const MAX_NAME_BYTES: usize = 256;

/// Reads a name or an address.
fn read_name(text: capnp::text::Reader<'_>) -> capnp::Result<String> {
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::failed(format!(
            "a name exceeds {MAX_NAME_BYTES} bytes"
        )));
    }
    Ok(text.to_str()?.to_owned())
}

/// Checks the length of a list.
fn check_len(len: u32, limit: u32) -> capnp::Result<()> {
    if len > limit {
        return Err(Error::failed(format!("a list exceeds {limit} entries")));
    }
    Ok(())
}

/// Returns the length of a list to be written, saturating.
fn list_len<T>(entries: &[T]) -> u32 {
    u32::try_from(entries.len()).unwrap_or(u32::MAX)
}

/// Converts to whole milliseconds, saturating.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a short duration to whole milliseconds, saturating.
fn short_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Reads a heartbeat.
///
/// # Errors
///
/// Fails if the message is malformed or a bound is exceeded.
pub fn read_heartbeat(reader: peer_capnp::beat::Reader<'_>) -> capnp::Result<Heartbeat> {
    let sender = Member {
        node: read_name(reader.get_node()?)?.into(),
        data_centre: read_name(reader.get_data_centre()?)?.into(),
        address: read_name(reader.get_address()?)?,
        incarnation: reader.get_incarnation(),
        version: reader.get_version(),
        state: if reader.get_leaving() {
            State::Left
        } else {
            State::Alive
        },
    };
    let list = reader.get_members()?;
    check_len(list.len(), MAX_MEMBERS)?;
    let mut members = Vec::new();
    for member in list {
        members.push(read_member(member)?);
    }
    let list = reader.get_suspects()?;
    check_len(list.len(), MAX_FINGERPRINTS)?;
    let mut fingerprints = Vec::new();
    for suspect in list {
        let valid = Duration::from_millis(suspect.get_valid_ms());
        fingerprints.push((id::Fingerprint(suspect.get_fingerprint()), valid));
    }
    Ok(Heartbeat {
        sender,
        generation: id::Generation(reader.get_generation()),
        digest: reader.get_digest(),
        full_state: reader.get_whole(),
        members,
        fingerprints,
    })
}

fn read_member(reader: peer_capnp::member::Reader<'_>) -> capnp::Result<Member> {
    let state = match reader.get_state() {
        Ok(peer_capnp::member::State::Alive) => State::Alive,
        Ok(peer_capnp::member::State::Suspect) => State::Suspect,
        Ok(peer_capnp::member::State::Left) => State::Left,
        Ok(peer_capnp::member::State::Dropped) => State::Dropped,
        Err(NotInSchema(number)) => {
            return Err(Error::failed(format!("unknown member state {number}")));
        }
    };
    Ok(Member {
        node: read_name(reader.get_node()?)?.into(),
        data_centre: read_name(reader.get_data_centre()?)?.into(),
        address: read_name(reader.get_address()?)?,
        incarnation: reader.get_incarnation(),
        version: reader.get_version(),
        state,
    })
}

/// Writes a heartbeat.
pub fn write_heartbeat(heartbeat: &Heartbeat, mut builder: peer_capnp::beat::Builder<'_>) {
    builder.set_node(heartbeat.sender.node.as_str());
    builder.set_data_centre(heartbeat.sender.data_centre.as_str());
    builder.set_address(&heartbeat.sender.address);
    builder.set_incarnation(heartbeat.sender.incarnation);
    builder.set_version(heartbeat.sender.version);
    builder.set_leaving(heartbeat.sender.state == State::Left);
    builder.set_generation(heartbeat.generation.0);
    builder.set_digest(heartbeat.digest);
    builder.set_whole(heartbeat.full_state);
    if !heartbeat.members.is_empty() {
        let mut list = builder
            .reborrow()
            .init_members(list_len(&heartbeat.members));
        for (index, member) in (0..).zip(&heartbeat.members) {
            write_member(member, list.reborrow().get(index));
        }
    }
    if !heartbeat.fingerprints.is_empty() {
        let mut list = builder.init_suspects(list_len(&heartbeat.fingerprints));
        for (index, (fingerprint, valid)) in (0..).zip(&heartbeat.fingerprints) {
            let mut suspect = list.reborrow().get(index);
            suspect.set_fingerprint(fingerprint.0);
            suspect.set_valid_ms(millis(*valid));
        }
    }
}

fn write_member(member: &Member, mut builder: peer_capnp::member::Builder<'_>) {
    builder.set_node(member.node.as_str());
    builder.set_data_centre(member.data_centre.as_str());
    builder.set_address(&member.address);
    builder.set_incarnation(member.incarnation);
    builder.set_version(member.version);
    builder.set_state(match member.state {
        State::Alive => peer_capnp::member::State::Alive,
        State::Suspect => peer_capnp::member::State::Suspect,
        State::Left => peer_capnp::member::State::Left,
        State::Dropped => peer_capnp::member::State::Dropped,
    });
}

/// Reads a configuration; none if its generation is zero.
///
/// # Errors
///
/// Fails if the message is malformed.
pub fn read_configuration(
    reader: peer_capnp::configuration::Reader<'_>,
) -> capnp::Result<Option<layout::Configuration>> {
    if reader.get_generation() == 0 {
        return Ok(None);
    }
    Ok(Some(layout::Configuration {
        generation: id::Generation(reader.get_generation()),
        text: reader.get_text()?.to_string()?,
        author: reader.get_author()?.to_string()?,
        time: reader.get_time()?.to_string()?,
        token: reader.get_token()?.to_string()?,
    }))
}

/// Writes a configuration.
pub fn write_configuration(
    record: &layout::Configuration,
    mut builder: peer_capnp::configuration::Builder<'_>,
) {
    builder.set_generation(record.generation.0);
    builder.set_text(&record.text);
    builder.set_author(&record.author);
    builder.set_time(&record.time);
    builder.set_token(&record.token);
}

/// Reads the status of an attempt.
///
/// # Errors
///
/// Fails if the message is malformed.
pub fn read_status(reader: peer_capnp::answer::Reader<'_>) -> capnp::Result<Status> {
    use peer_capnp::answer::Which;

    Ok(match reader.which()? {
        Which::Unknown(()) => Status::Unknown,
        Which::Running(()) => Status::Running,
        Which::NotRun(()) => Status::NotRun,
        Which::Lost(()) => Status::Lost,
        Which::Done(response) => {
            let response = response?;
            Status::Done(Response {
                status: response.get_status(),
                content_type: response.get_content_type()?.to_string()?,
                body: response.get_body()?.to_vec(),
            })
        }
    })
}

/// Writes the status of an attempt.
pub fn write_status(status: &Status, mut builder: peer_capnp::answer::Builder<'_>) {
    match status {
        Status::Unknown => builder.set_unknown(()),
        Status::Running => builder.set_running(()),
        Status::NotRun => builder.set_not_run(()),
        Status::Lost => builder.set_lost(()),
        Status::Done(response) => {
            let mut builder = builder.init_done();
            builder.set_status(response.status);
            builder.set_content_type(&response.content_type);
            builder.set_body(&response.body);
        }
    }
}

/// Reads a message of the admission protocol.
///
/// # Errors
///
/// Fails if the message is malformed or a bound is exceeded.
pub fn read_admission(reader: peer_capnp::admission::Reader<'_>) -> capnp::Result<event::Message> {
    use peer_capnp::admission::Which;

    Ok(match reader.which()? {
        Which::Demand(list) => event::Message::Demand(read_demands(list?)?),
        Which::Granted(list) => event::Message::Granted(read_grants(list?)?),
        Which::Returned(list) => event::Message::Returned(read_grants(list?)?),
    })
}

fn read_demands(
    list: struct_list::Reader<'_, peer_capnp::demand::Owned>,
) -> capnp::Result<Vec<event::Demand>> {
    check_len(list.len(), MAX_ADMISSION_ENTRIES)?;
    let mut demands = Vec::new();
    for demand in list {
        demands.push(event::Demand {
            service: read_name(demand.get_service()?)?.into(),
            tier: id::Tier(demand.get_tier()),
            tokens: size::Tokens(demand.get_tokens()),
            requests: demand.get_requests(),
        });
    }
    Ok(demands)
}

fn read_grants(
    list: struct_list::Reader<'_, peer_capnp::grant::Owned>,
) -> capnp::Result<Vec<event::Grant>> {
    check_len(list.len(), MAX_ADMISSION_ENTRIES)?;
    let mut grants = Vec::new();
    for grant in list {
        grants.push(event::Grant {
            endpoint: read_name(grant.get_endpoint()?)?.into(),
            tier: id::Tier(grant.get_tier()),
            tokens: size::Tokens(grant.get_tokens()),
            valid: Duration::from_millis(grant.get_valid_ms().into()),
        });
    }
    Ok(grants)
}

/// Writes a message of the admission protocol.
pub fn write_admission(message: &event::Message, builder: peer_capnp::admission::Builder<'_>) {
    match message {
        event::Message::Demand(demands) => {
            write_demands(demands, builder.init_demand(list_len(demands)));
        }
        event::Message::Granted(grants) => {
            write_grants(grants, builder.init_granted(list_len(grants)));
        }
        event::Message::Returned(grants) => {
            write_grants(grants, builder.init_returned(list_len(grants)));
        }
    }
}

fn write_demands(
    demands: &[event::Demand],
    mut list: struct_list::Builder<'_, peer_capnp::demand::Owned>,
) {
    for (index, demand) in (0..).zip(demands) {
        let mut builder = list.reborrow().get(index);
        builder.set_service(demand.service.as_str());
        builder.set_tier(demand.tier.0);
        builder.set_tokens(demand.tokens.0);
        builder.set_requests(demand.requests);
    }
}

fn write_grants(
    grants: &[event::Grant],
    mut list: struct_list::Builder<'_, peer_capnp::grant::Owned>,
) {
    for (index, grant) in (0..).zip(grants) {
        let mut builder = list.reborrow().get(index);
        builder.set_endpoint(grant.endpoint.as_str());
        builder.set_tier(grant.tier.0);
        builder.set_tokens(grant.tokens.0);
        builder.set_valid_ms(short_millis(grant.valid));
    }
}
