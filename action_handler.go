package flaxshelf

// ActionHandler executes the actions of a Placer. It has one method for each type of action, so that a host which forgets
// one does not compile.
type ActionHandler interface {
	HandleOffer(Offer)
	HandleCancel(Cancel)
	HandleReject(Reject)
	HandleFail(Fail)
	HandleMigrate(Migrate)
	HandleHealthCheck(HealthCheck)
	HandleSendGossip(SendGossip)
	HandleSubscribe(Subscribe)
	HandleSetTimer(SetTimer)
}

// HandleActions passes each action, in order, to the method of handler for its type.
func HandleActions(actions []Action, handler ActionHandler) {
	for _, action := range actions {
		action.handle(handler)
	}
}

func (a Offer) handle(h ActionHandler)       { h.HandleOffer(a) }
func (a Cancel) handle(h ActionHandler)      { h.HandleCancel(a) }
func (a Reject) handle(h ActionHandler)      { h.HandleReject(a) }
func (a Fail) handle(h ActionHandler)        { h.HandleFail(a) }
func (a Migrate) handle(h ActionHandler)     { h.HandleMigrate(a) }
func (a HealthCheck) handle(h ActionHandler) { h.HandleHealthCheck(a) }
func (a SendGossip) handle(h ActionHandler)  { h.HandleSendGossip(a) }
func (a Subscribe) handle(h ActionHandler)   { h.HandleSubscribe(a) }
func (a SetTimer) handle(h ActionHandler)    { h.HandleSetTimer(a) }
