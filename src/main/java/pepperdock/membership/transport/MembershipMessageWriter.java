package pepperdock.membership.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import pepperdock.membership.GossipItem;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.Message;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Observations;

/** Writes the fields of a membership message that follow the version. Each writer writes one message. */
record MembershipMessageWriter(CBORGenerator generator) {

    /** Writes a message that is sent as a datagram; returns false if the message is of another kind. */
    boolean writeDatagram(Message message) throws IOException {
        if (message instanceof Message.Ping ping) {
            writeHeader(MessageKinds.PING, ping.header());
            writeNameAndNumber(ping.target(), ping.generation());
            generator.writeNumber(ping.sequence());
            writeItems(ping.gossip());
        } else if (message instanceof Message.Ack ack) {
            writeHeader(MessageKinds.ACK, ack.header());
            generator.writeNumber(ack.sequence());
            writeItems(ack.gossip());
        } else if (message instanceof Message.WrongAddressee wrongAddressee) {
            writeHeader(MessageKinds.WRONG_ADDRESSEE, wrongAddressee.header());
            writeNameAndNumber(wrongAddressee.target(), wrongAddressee.generation());
        } else if (message instanceof Message.IndirectPing ping) {
            writeHeader(MessageKinds.INDIRECT_PING, ping.header());
            writeNameAndNumber(ping.subject(), ping.generation());
            generator.writeString(ping.address());
            generator.writeNumber(ping.sequence());
        } else if (message instanceof Message.IndirectAck ack) {
            writeHeader(MessageKinds.INDIRECT_ACK, ack.header());
            writeNameAndNumber(ack.subject(), ack.generation());
            generator.writeNumber(ack.sequence());
        } else if (message instanceof Message.Join join) {
            writeHeader(MessageKinds.JOIN, join.header());
        } else if (message instanceof Message.JoinResponse response) {
            writeHeader(MessageKinds.JOIN_RESPONSE, response.header());
            writeItems(response.items());
        } else {
            return false;
        }
        return true;
    }

    /** Writes a message of an anti-entropy exchange. */
    void writeExchange(Message message) throws IOException {
        if (message instanceof Message.SliceDigests digests) {
            writeHeader(MessageKinds.SLICE_DIGESTS, digests.header());
            writeNumbers(digests.digests());
        } else if (message instanceof Message.SliceSelection selection) {
            writeHeader(MessageKinds.SLICE_SELECTION, selection.header());
            generator.writeNumber(selection.slices());
        } else if (message instanceof Message.DigestRequest request) {
            writeDigestRequest(request);
        } else if (message instanceof Message.DigestResponse response) {
            writeHeader(MessageKinds.DIGEST_RESPONSE, response.header());
            writeItems(response.items());
            writeNames(response.requestedNames());
        } else if (message instanceof Message.MissingItems missing) {
            writeHeader(MessageKinds.MISSING_ITEMS, missing.header());
            writeItems(missing.items());
        }
    }

    private void writeDigestRequest(Message.DigestRequest request) throws IOException {
        boolean all = request.slices() == Message.ALL_SLICES;
        writeHeader(all ? MessageKinds.DIGEST_REQUEST : MessageKinds.PARTIAL_DIGEST_REQUEST, request.header());
        if (!all) {
            generator.writeNumber(request.slices());
        }
        generator.writeStartArray();
        for (Map.Entry<String, Long> digest : request.digests().entrySet()) {
            writeNameAndNumber(digest.getKey(), digest.getValue());
        }
        generator.writeEndArray();
    }

    private void writeHeader(int kind, Header header) throws IOException {
        generator.writeNumber(kind);
        generator.writeString(header.fleet());
        writeNameAndNumber(header.name(), header.generation());
        generator.writeNumber(header.incarnation());
        generator.writeString(header.address());
        generator.writeNumber(header.stateDigest());
    }

    private void writeNameAndNumber(String name, long number) throws IOException {
        generator.writeString(name);
        generator.writeNumber(number);
    }

    private void writeNumbers(List<Long> numbers) throws IOException {
        generator.writeStartArray();
        for (long number : numbers) {
            generator.writeNumber(number);
        }
        generator.writeEndArray();
    }

    private void writeNames(List<String> names) throws IOException {
        generator.writeStartArray();
        for (String name : names) {
            generator.writeString(name);
        }
        generator.writeEndArray();
    }

    private void writeItems(List<GossipItem> items) throws IOException {
        generator.writeStartArray();
        for (GossipItem item : items) {
            if (item instanceof MemberRecord memberRecord) {
                writeMemberRecord(memberRecord);
            } else if (item instanceof Observations observations) {
                writeObservations(observations);
            }
        }
        generator.writeEndArray();
    }

    private void writeMemberRecord(MemberRecord memberRecord) throws IOException {
        generator.writeNumber(MessageKinds.MEMBER_RECORD);
        writeNameAndNumber(memberRecord.name(), memberRecord.generation());
        generator.writeNumber(memberRecord.incarnation());
        generator.writeNumber(memberRecord.status().ordinal());
        generator.writeString(memberRecord.address());
        generator.writeString(memberRecord.zone());
        generator.writeString(memberRecord.machine());
    }

    private void writeObservations(Observations observations) throws IOException {
        generator.writeNumber(MessageKinds.OBSERVATIONS);
        writeNameAndNumber(observations.name(), observations.generation());
        generator.writeNumber(observations.revision());
        generator.writeBoolean(observations.unhealthy());
        generator.writeStartArray();
        for (Map.Entry<String, Observations.SubjectObservation> subject :
                observations.bySubject().entrySet()) {
            writeNameAndNumber(subject.getKey(), subject.getValue().generation());
            generator.writeNumber(subject.getValue().observation().ordinal());
        }
        generator.writeEndArray();
    }
}
