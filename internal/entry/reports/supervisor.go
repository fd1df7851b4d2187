package reports

import (
	"strconv"

	"go.uber.org/zap"

	"kingcupcourse/internal/entry/peer"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// senderCount is how many reports may be on their way at once, so that a
// scheduler that hangs holds up only some of the shards.
const senderCount = 4

// Reports is the supervisor with the ring of its owner.
type Reports struct {
	*supervisor.Supervisor
	Inbox Inbox
}

// New returns the supervisor. Children, in their order: the senders, then
// the owner of the state, which is stopped first and flushes through them. A
// child that fails is restarted and goes on from the state that it kept.
func New(config Config, client *peer.Client, log *zap.Logger) *Reports {
	inbox := ring.New[Message]("entry_reports", reporterRingCapacity)
	var senders []*ring.Ring[sendRequest]
	var children []supervisor.Child
	for i := range senderCount {
		rings := ring.New[sendRequest]("entry_sender", senderRingCapacity)
		senders = append(senders, rings)
		children = append(children, supervisor.Child{
			Name: "sender-" + strconv.Itoa(i),
			Duty: &Sender{inbox: rings, reporter: inbox, client: client},
		})
	}
	children = append(children, supervisor.Child{
		Name: "owner", Duty: newReporter(config, inbox, senders), StopTimeout: 2 * flushTimeout,
	})
	return &Reports{
		Supervisor: supervisor.New(supervisor.Spec{Name: "reports", Children: children}, log),
		Inbox:      inbox,
	}
}
