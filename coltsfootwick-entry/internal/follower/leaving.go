package follower

import "context"

// FollowLeaving forwards lists of leaving targets as updates until ctx ends.
func (fr *Follower) FollowLeaving(ctx context.Context, lists <-chan []string) {
	for {
		select {
		case vms := <-lists:
			fr.send(ctx, LeavingUpdate{
				VMs: vms,
			})
		case <-ctx.Done():
			return
		}
	}
}
