package place

import (
	_ "bufio"                                          // want `import of bufio`
	_ "context"                                        // want `import of context`
	_ "encoding/json"                                  // want `import of encoding/json`
	_ "github.com/prometheus/client_golang/prometheus" // want `import of github.com/prometheus/client_golang/prometheus`
	_ "go.uber.org/zap"                                // want `import of go.uber.org/zap`
	_ "io"                                             // want `import of io`
	_ "io/fs"                                          // want `import of io/fs`
	_ "kingcupcourse/internal/ring"                    // want `import of kingcupcourse/internal/ring`
	_ "kingcupcourse/internal/supervisor"              // want `import of kingcupcourse/internal/supervisor`
	_ "log"                                            // want `import of log:`
	_ "log/slog"                                       // want `import of log/slog`
	"math"
	oldrand "math/rand"
	"math/rand/v2"
	_ "net"      // want `import of net:`
	_ "net/http" // want `import of net/http`
	_ "os"       // want `import of os`
	"sort"
	_ "sync"        // want `import of sync:`
	_ "sync/atomic" // want `import of sync/atomic`
	"time"
)

func choose(r *rand.Rand, now time.Time) int {
	sort.Ints(nil)
	_ = math.Pi
	_ = now.Add(time.Second)
	_ = rand.New(rand.NewPCG(1, 2)).IntN(3)
	_ = rand.IntN(3)      // want `rand.IntN: a decision gets`
	_ = oldrand.Float64() // want `rand.Float64`
	_ = time.Now          // want `time.Now: a decision gets`
	_ = time.Since(now)   // want `time.Since`
	_ = time.Until(now)   // want `time.Until`
	_ = time.NewTimer(3)  // want `time.NewTimer`
	return r.IntN(3)
}
