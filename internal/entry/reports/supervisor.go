package reports

import (
	"strconv"

	"go.uber.org/zap"

	"kingcupcourse/internal/entry/peer"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// senderCount is how many reports may be in flight at once, so that a
// scheduler that hangs delays only some of the shards.
const senderCount = 4

// Reports is the supervisor and the reporter's ring.
type Reports struct {
	*supervisor.Supervisor
	Inbox Inbox
}

// New returns the supervisor. The children start in this order: the senders,
// then the reporter, which stops first and flushes through the senders. A
// failed child is restarted and keeps its state.
func New(config Config, client *peer.Client, log *zap.Logger) *Reports {
	inbox := ring.New[Message]("entry_reports", reporterRingCapacity)
	var senders []*ring.Ring[sendRequest]
	var children []supervisor.Child
	for i := range senderCount {
		senderRing := ring.New[sendRequest]("entry_sender", senderRingCapacity)
		senders = append(senders, senderRing)
		children = append(children, supervisor.Child{
			Name: "sender-" + strconv.Itoa(i),
			Duty: &Sender{inbox: senderRing, reporter: inbox, client: client},
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
