package masticcontrol

import (
	"github.com/sirupsen/logrus"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticwire"
)

// peers sends the core's messages to the other members.
type peers struct {
	wire    *masticwire.Wire
	log     logrus.FieldLogger
	clients map[string]*masticwire.Client
	// reportedAddresses are the addresses that hosts stated in their messages, for hosts that are
	// not in the member list.
	reportedAddresses map[string]string
}

func newPeers(w *masticwire.Wire, log logrus.FieldLogger) *peers {
	return &peers{wire: w, log: log, clients: map[string]*masticwire.Client{}, reportedAddresses: map[string]string{}}
}

// send queues messages. Lost ones are sent again by the core.
func (p *peers) send(messages []*masticproto.QuorumMessage, members []*masticproto.Member) {
	for _, m := range messages {
		address := addressOf(members, m.GetTo())
		if address == "" {
			address = p.reportedAddresses[m.GetTo()]
		}
		c, err := p.client(address)
		if err != nil {
			continue
		}
		err = c.Send(&masticproto.PeerRequest{
			Address: addressOf(members, m.GetFrom()),
			Kind:    &masticproto.PeerRequest_Quorum{Quorum: m},
		})
		if masticerror.KindOf(err) == masticerror.KindBodyTooLarge {
			p.log.WithError(err).WithField("to", m.GetTo()).Error("consensus message is too large to send")
		}
	}
}

func (p *peers) recordAddress(q *masticproto.PeerRequest) {
	if q.GetAddress() != "" {
		p.reportedAddresses[q.GetQuorum().GetFrom()] = q.GetAddress()
	}
}

func (p *peers) client(address string) (*masticwire.Client, error) {
	if c, ok := p.clients[address]; ok {
		return c, nil
	}
	c, err := p.wire.Client(address)
	if err != nil {
		return nil, err
	}
	p.clients[address] = c
	return c, nil
}

func (p *peers) close() {
	for _, c := range p.clients {
		c.Close()
	}
}

func addressOf(members []*masticproto.Member, id string) string {
	for _, m := range members {
		if m.GetId() == id {
			return m.GetAddress()
		}
	}
	return ""
}
